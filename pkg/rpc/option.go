package rpc

import "github.com/charmbracelet/log"

// Option sets a Server.
type Option func(*Server)

// WithAuthorizer asks a before every handler. A request that it refuses
// reaches no handler.
func WithAuthorizer(a Authorizer) Option {
	return func(s *Server) { s.authorizer = a }
}

// WithLogger makes the server log connections that broke and requests that
// were refused; a server without a logger tells of neither.
func WithLogger(l *log.Logger) Option {
	return func(s *Server) { s.logger = l }
}
