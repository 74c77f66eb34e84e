package rpc

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// maxConcurrentRequests is the maximum number of requests in progress on one connection.
const maxConcurrentRequests = 256

// pingMethod is the liveness check that every server answers.
const pingMethod = "rpc.ping"

// handlerFunc handles one request, given its parameters as JSON.
type handlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// Server serves JSON-RPC requests with registered typed handlers.
type Server struct {
	authorizer Authorizer  // nil: all calls are allowed
	logger     *log.Logger // nil: no logging
	maxMessage int         // bytes; 0: maxMessageBytes

	mu       sync.Mutex
	handlers map[string]handlerFunc
	conns    map[*jsonrpc2.Conn]struct{}
	closed   bool
}

// NewServer returns a server without handlers.
func NewServer(options ...Option) *Server {
	s := &Server{
		handlers: make(map[string]handlerFunc),
		conns:    make(map[*jsonrpc2.Conn]struct{}),
	}
	s.handlers[pingMethod] = func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil }
	for _, o := range options {
		o(s)
	}
	return s
}

// Handle registers a typed handler. All handlers must be registered before the server serves. The
// client receives a returned *jsonrpc2.Error as it is; any other error becomes an internal error.
func Handle[P, R any](s *Server, method string, h func(context.Context, P) (R, error)) {
	s.handlers[method] = func(ctx context.Context, raw json.RawMessage) (any, error) {
		var p P
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &p); err != nil {
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
			}
		}
		return h(ctx, p)
	}
}

// Serve accepts connections until the listener fails or the server is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return ErrClosed
			}
			return eris.Wrap(err, "accept")
		}
		s.ServeConn(c)
	}
}

// ServeConn serves requests on one connection, in the background.
func (s *Server) ServeConn(c net.Conn) {
	stream := jsonrpc2.NewBufferedStream(c, codec{most: s.maxMessage})
	h := &connHandler{server: s, raw: c, slots: make(chan struct{}, maxConcurrentRequests)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return
	}
	logging := jsonrpc2.SetLogger(connLogger{s.logger, c.RemoteAddr().String()})
	conn := jsonrpc2.NewConn(context.Background(), stream, h, logging)
	s.conns[conn] = struct{}{}
	go s.removeWhenClosed(conn)
}

func (s *Server) removeWhenClosed(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close closes all connections and refuses new ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// connHandler handles the requests of one connection, each in its own goroutine and at most
// maxConcurrentRequests at a time. Notifications are handled in order.
type connHandler struct {
	server *Server
	raw    net.Conn // the connection, for the Authorizer and the handlers
	slots  chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		h.answer(ctx, conn, req)
		return
	}
	h.slots <- struct{}{}
	go func() {
		defer func() { <-h.slots }()
		h.answer(ctx, conn, req)
	}()
}

func (h *connHandler) answer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if err := h.authorize(ctx, req.Method); err != nil {
		h.reply(ctx, conn, req, nil, err)
		return
	}
	f, ok := h.server.handlers[req.Method]
	if !ok {
		h.reply(ctx, conn, req, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method})
		return
	}
	var raw json.RawMessage
	if req.Params != nil {
		raw = *req.Params
	}
	result, err := f(withConn(ctx, h.raw, conn.DisconnectNotify()), raw)
	h.reply(ctx, conn, req, result, err)
}

// authorize returns an error unless the peer may call a method. Every connected peer may ping.
func (h *connHandler) authorize(ctx context.Context, method string) error {
	if h.server.authorizer == nil || method == pingMethod {
		return nil
	}
	err := h.server.authorizer.Authorize(ctx, h.raw, method)
	if err != nil && h.server.logger != nil {
		h.server.logger.Warn("rpc request refused", "method", method, "remote", h.raw.RemoteAddr(), "err", err)
	}
	return err
}

func (h *connHandler) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	if req.Notif {
		return
	}
	if err == nil {
		_ = conn.Reply(ctx, req.ID, result)
		return
	}
	var coded *jsonrpc2.Error
	if !eris.As(err, &coded) {
		coded = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	_ = conn.ReplyWithError(ctx, req.ID, coded)
}
