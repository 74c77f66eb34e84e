package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

// session is the state of one command.
type session struct {
	env      Environment
	flags    globals
	settings settings.Ctl
	problems []settings.Problem
	client   *leaderClient
}

func newSession(g globals, env Environment) *session {
	sets := g.Set
	if len(g.Servers) > 0 {
		sets = append(sets, "servers="+strings.Join(g.Servers, ","))
	}
	if g.Timeout != 0 {
		sets = append(sets, "timeout="+g.Timeout.String())
	}
	s := &session{env: env, flags: g}
	s.settings, s.problems = settings.Load[settings.Ctl](g.Settings, env.Environ, sets)
	return s
}

// connect prepares the session for calls to servers.
func (s *session) connect() error {
	if s.client != nil {
		return nil
	}
	if len(s.problems) > 0 {
		return s.settingsFailure()
	}
	dial, err := s.dial()
	if err != nil {
		return err
	}
	s.client = newLeaderClient(s.settings.Servers, dial)
	return nil
}

func (s *session) settingsFailure() error {
	f := &Failure{
		Code:    ExitRefused,
		Message: quantity(len(s.problems), "problem") + " in the settings",
		Hint:    programName + " settings print explains each key",
	}
	for _, p := range s.problems {
		f.Problems = append(f.Problems, object.Problem{File: p.File, Line: p.Line, Field: p.Key, Message: p.Message + "; allowed: " + p.Allowed})
	}
	return f
}

func (s *session) dial() (rpc.DialFunc, error) {
	if s.env.Dial != nil {
		return s.env.Dial, nil
	}
	t := s.settings.TLS
	if !t.Enabled() {
		return rpc.DialTCP(nil), nil
	}
	source, err := access.NewCertificateSource(access.SourceOptions{Files: access.Files{Cert: t.Cert, Key: t.Key, CA: t.CA}})
	if err != nil {
		return nil, &Failure{Code: ExitRefused, Message: err.Error(), Hint: "check tls_cert, tls_key and tls_ca in the settings"}
	}
	return source.Dial(access.Keeper, access.Gate), nil
}

func (s *session) close() {
	if s.client != nil {
		s.client.close()
	}
}

// read sends a read-only request to the leader.
func (s *session) read(m control.Method, params, result any) error {
	return s.call(request{method: m, params: params}, result)
}

// change sends a change with its change ID.
func (s *session) change(m control.Method, id string, params, result any) error {
	return s.call(request{method: m, params: params, changeID: id, mutating: true}, result)
}

func (s *session) call(r request, result any) error {
	if err := s.connect(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Timeout)
	defer cancel()
	return s.client.call(ctx, r, result)
}

// changeID returns the given change ID or a new one, and prints it before anything is
// sent.
func (s *session) changeID(given string) string {
	id := given
	if id == "" {
		id = s.env.NewID()
	}
	s.progress("change ID %s", id)
	return id
}

// progress prints a progress message for the operator.
func (s *session) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(s.env.Stderr, format+"\n", args...)
}
