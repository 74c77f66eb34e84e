package ctl

import (
	"os"
	"time"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/object"
)

// keysInitCommand creates all certificates of a small deployment.
type keysInitCommand struct {
	Dir     string        `arg:"" predictor:"file" help:"New or empty directory for the files."`
	Cluster string        `default:"sesame" help:"Name of the deployment."`
	Valid   time.Duration `default:"8760h" help:"Validity period of the certificates."`
	holderFlags
}

// Help implements kong.HelpProvider.
func (*keysInitCommand) Help() string {
	return `Writes ca.pem, ca-key.pem and ROLE-NAME.pem, ROLE-NAME-key.pem. Existing files
are never overwritten. Don't keep ca-key.pem on the hosts.

Examples:
  sesamectl keys init keys --keeper k1=10.0.0.1 --gate g1=10.0.0.4 --operator ana`
}

// Run implements the command.
func (k *keysInitCommand) Run(s *session) error {
	if err := object.CheckName(k.Cluster); err != nil {
		return usageFailure("--cluster: %v", err)
	}
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
	authorityPair, err := authority.KeyPair()
	if err != nil {
		return err
	}
	if err := authorityPair.Write(k.Dir, access.AuthorityCertFile, access.AuthorityKeyFile); err != nil {
		return err
	}
	return s.issueCertificates(authority, holders, k.Dir)
}

// keysAddCommand creates further certificates.
type keysAddCommand struct {
	Dir string `arg:"" predictor:"file" help:"Directory of keys init, with ca.pem and ca-key.pem."`
	holderFlags
}

// Help implements kong.HelpProvider.
func (*keysAddCommand) Help() string {
	return `To renew a certificate, first move its files away: files are never overwritten.

Examples:
  sesamectl keys add keys --gate g4=10.0.0.7`
}

// Run implements the command.
func (k *keysAddCommand) Run(s *session) error {
	holders, err := k.holders()
	if err != nil {
		return err
	}
	authority, err := access.LoadAuthority(k.Dir)
	if err != nil {
		return err
	}
	return s.issueCertificates(authority, holders, k.Dir)
}
