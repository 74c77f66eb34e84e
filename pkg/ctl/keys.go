package ctl

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/object"
)

// keysCommand groups the commands about keys and certificates.
type keysCommand struct {
	Init   keysInitCommand   `cmd:"" help:"Create an authority and certificates for a small deployment."`
	Add    keysAddCommand    `cmd:"" help:"Create further certificates with the authority of keys init."`
	Digest keysDigestCommand `cmd:"" help:"Print the digest of an organisation's API key, for key_sha256."`
}

// holderFlags specify the holders of new certificates.
type holderFlags struct {
	Keepers   []string `name:"keeper" sep:"none" placeholder:"NAME=IP" help:"A keeper and its IP address."`
	Gates     []string `name:"gate" sep:"none" placeholder:"NAME=IP" help:"A gate and its IP address."`
	Upstreams []string `name:"upstream" sep:"none" placeholder:"NAME=IP" help:"An upstream and its IP address."`
	Operators []string `name:"operator" sep:"none" placeholder:"NAME" help:"An operator."`
}

// holder is the holder of a certificate to create.
type holder struct {
	role access.Role
	name string
	ips  []net.IP
}

// holders parses all flags before anything is written, so that an invalid flag leaves no
// files.
func (f *holderFlags) holders() ([]holder, error) {
	var list []holder
	for _, group := range []struct {
		role   access.Role
		values []string
	}{{access.Keeper, f.Keepers}, {access.Gate, f.Gates}, {access.Upstream, f.Upstreams}, {access.Operator, f.Operators}} {
		for _, v := range group.values {
			h, err := parseHolder(group.role, v)
			if err != nil {
				return nil, err
			}
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		return nil, usageFailure("name at least one holder, such as --operator ana")
	}
	return list, nil
}

func parseHolder(role access.Role, value string) (holder, error) {
	name, address, hasAddress := strings.Cut(value, "=")
	if err := object.CheckName(name); err != nil {
		return holder{}, usageFailure("--%s: %v", role, err)
	}
	h := holder{role: role, name: name}
	ip := net.ParseIP(address)
	switch {
	case role == access.Operator && !hasAddress:
		return h, nil
	case ip == nil:
		return holder{}, usageFailure("--%s: %q is not NAME=IP", role, value)
	}
	h.ips = []net.IP{ip}
	return h, nil
}

func usageFailure(format string, args ...any) *Failure {
	return &Failure{Code: ExitUsage, Message: fmt.Sprintf(format, args...)}
}

// issueCertificates writes the certificates of holders to a directory and prints their
// number.
func (s *session) issueCertificates(a *access.Authority, holders []holder, dir string) error {
	for _, h := range holders {
		pair, err := a.Issue(h.role, h.name, s.env.Now(), h.ips...)
		if err != nil {
			return err
		}
		base := fmt.Sprintf("%s-%s", h.role, h.name)
		if err := pair.Write(dir, base+".pem", base+"-key.pem"); err != nil {
			return err
		}
	}
	return s.print(struct {
		Dir          string `json:"dir"`
		Certificates int    `json:"certificates"`
	}{dir, len(holders)}, func(w io.Writer) { printLine(w, "%s: %s", dir, quantity(len(holders), "certificate")) })
}

// keysDigestCommand prints the digest of an API key.
type keysDigestCommand struct {
	File string `arg:"" predictor:"file" help:"File with the key; leading and trailing white space is ignored."`
}

// Help implements kong.HelpProvider.
func (*keysDigestCommand) Help() string {
	return `The key is read from a file to keep it out of the shell's history.

Examples:
  sesamectl keys digest ferry-lines.key`
}

// Run implements the command.
func (k *keysDigestCommand) Run(s *session) error {
	text, err := os.ReadFile(filepath.Clean(k.File))
	if err != nil {
		return err
	}
	digest := access.Digest(strings.TrimSpace(string(text)))
	return s.print(struct {
		Digest string `json:"key_sha256"`
	}{digest}, func(w io.Writer) { printLine(w, "%s", digest) })
}
