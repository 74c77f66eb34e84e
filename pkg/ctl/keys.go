package ctl

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/object"
)

// keysCommand groups the commands about keys.
type keysCommand struct {
	Init   keysInitCommand   `cmd:"" help:"Make an authority and certificates for a small deployment."`
	Digest keysDigestCommand `cmd:"" help:"Print the digest of an organisation's API key, for key_sha256."`
}

// keysInitCommand makes all keys of a small deployment.
type keysInitCommand struct {
	Dir       string        `arg:"" predictor:"file" help:"New or empty folder for the files."`
	Cluster   string        `default:"sesame" help:"Name of the deployment."`
	Keepers   []string      `name:"keeper" sep:"none" placeholder:"NAME=IP" help:"A keeper and its IP number."`
	Gates     []string      `name:"gate" sep:"none" placeholder:"NAME=IP" help:"A gate and its IP number."`
	Upstreams []string      `name:"upstream" sep:"none" placeholder:"NAME=IP" help:"An upstream and its IP number."`
	Operators []string      `name:"operator" sep:"none" placeholder:"NAME" help:"An operator."`
	Valid     time.Duration `default:"8760h" help:"How long the certificates hold."`
}

// Help implements kong.HelpProvider.
func (*keysInitCommand) Help() string {
	return `Writes ca.pem, ca-key.pem and ROLE-NAME.pem, ROLE-NAME-key.pem. Nothing is ever
overwritten. Keep ca-key.pem off the hosts.

Examples:
  sesamectl keys init keys --keeper k1=10.0.0.1 --gate g1=10.0.0.4 --operator ana`
}

// holder is one certificate to make.
type holder struct {
	role access.Role
	name string
	ips  []net.IP
}

// Run implements the command.
func (k *keysInitCommand) Run(s *session) error {
	holders, err := k.holders()
	if err != nil {
		return err
	}
	now := s.env.Now()
	authority, err := access.NewAuthority(k.Cluster, now, now.Add(k.Valid))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(k.Dir, 0o700); err != nil {
		return err
	}
	own, err := authority.Pair()
	if err != nil {
		return err
	}
	if err := own.Write(k.Dir, access.AuthorityCertFile, access.AuthorityKeyFile); err != nil {
		return err
	}
	for _, h := range holders {
		if err := k.issue(authority, h, now); err != nil {
			return err
		}
	}
	return s.print(struct {
		Dir          string `json:"dir"`
		Certificates int    `json:"certificates"`
	}{k.Dir, len(holders)}, func(w io.Writer) { say(w, "%s: an authority and %d certificates", k.Dir, len(holders)) })
}

func (k *keysInitCommand) issue(a *access.Authority, h holder, now time.Time) error {
	pair, err := a.Issue(h.role, h.name, now, h.ips...)
	if err != nil {
		return err
	}
	base := fmt.Sprintf("%s-%s", h.role, h.name)
	return pair.Write(k.Dir, base+".pem", base+"-key.pem")
}

// holders reads the flags; nothing is written when one is in error.
func (k *keysInitCommand) holders() ([]holder, error) {
	var list []holder
	if err := object.CheckName(k.Cluster); err != nil {
		return nil, usage("--cluster: %v", err)
	}
	for _, group := range []struct {
		role   access.Role
		values []string
	}{{access.Keeper, k.Keepers}, {access.Gate, k.Gates}, {access.Upstream, k.Upstreams}, {access.Operator, k.Operators}} {
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
