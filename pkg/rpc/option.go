package rpc

import "github.com/charmbracelet/log"

// Option configures a Server.
type Option func(*Server)

// WithAuthorizer makes the server consult a before every handler. A request that it refuses does
// not reach its handler.
func WithAuthorizer(a Authorizer) Option {
	return func(s *Server) { s.authorizer = a }
}

// WithLogger makes the server log failed connections and refused requests. A server without a
// logger logs neither.
func WithLogger(l *log.Logger) Option {
	return func(s *Server) { s.logger = l }
}

// WithMaxMessage makes the server close connections that announce a larger message, in bytes.
func WithMaxMessage(bytes int) Option { return func(s *Server) { s.maxMessage = bytes } }
