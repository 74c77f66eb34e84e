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

// keysCommand groups the commands about keys.
type keysCommand struct {
	Init   keysInitCommand   `cmd:"" help:"Make an authority and certificates for a small deployment."`
	Add    keysAddCommand    `cmd:"" help:"Make further certificates with the authority of keys init."`
	Digest keysDigestCommand `cmd:"" help:"Print the digest of an organisation's API key, for key_sha256."`
}

// holderFlags name the holders of certificates.
type holderFlags struct {
	Keepers   []string `name:"keeper" sep:"none" placeholder:"NAME=IP" help:"A keeper and its IP number."`
	Gates     []string `name:"gate" sep:"none" placeholder:"NAME=IP" help:"A gate and its IP number."`
	Upstreams []string `name:"upstream" sep:"none" placeholder:"NAME=IP" help:"An upstream and its IP number."`
	Operators []string `name:"operator" sep:"none" placeholder:"NAME" help:"An operator."`
}

// holder is one certificate to make.
type holder struct {
	role access.Role
	name string
	ips  []net.IP
}

// holders reads the flags; nothing is written when one is in error.
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
		return nil, usage("name at least one holder, such as --operator ana")
	}
	return list, nil
}

func parseHolder(role access.Role, value string) (holder, error) {
	name, address, hasAddress := strings.Cut(value, "=")
	if err := object.CheckName(name); err != nil {
		return holder{}, usage("--%s: %v", role, err)
	}
	h := holder{role: role, name: name}
	ip := net.ParseIP(address)
	switch {
	case role == access.Operator && !hasAddress:
		return h, nil
	case ip == nil:
		return holder{}, usage("--%s: %q is not NAME=IP", role, value)
	}
	h.ips = []net.IP{ip}
	return h, nil
}

func usage(format string, args ...any) *Failure {
	return &Failure{Code: ExitUsage, Message: fmt.Sprintf(format, args...)}
}

// issue writes the certificates of holders to a folder and prints how many.
func (s *session) issue(a *access.Authority, holders []holder, dir string) error {
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
	}{dir, len(holders)}, func(w io.Writer) { say(w, "%s: %s", dir, count(len(holders), "certificate")) })
}

// keysDigestCommand prints a digest.
type keysDigestCommand struct {
	File string `arg:"" predictor:"file" help:"File with the key; space at its end is left out."`
}

// Help implements kong.HelpProvider.
func (*keysDigestCommand) Help() string {
	return `The key is read from a file, so that it stays out of the shell's history.

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
	}{digest}, func(w io.Writer) { say(w, "%s", digest) })
}
