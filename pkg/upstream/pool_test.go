package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// server reports its incarnation to GET requests, and counts and redirects POSTs.
type server struct {
	address     string
	incarnation atomic.Uint64
	posts       atomic.Int64
	drop        atomic.Bool // close the connection instead of responding
}

func startServer(t *testing.T) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String()}
	s.incarnation.Store(1)
	h := &http.Server{Handler: s}
	go func() { _ = h.Serve(l) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_, _ = fmt.Fprintf(w, `{"status":{"incarnation":%d}}`, s.incarnation.Load())
		return
	}
	s.posts.Add(1)
	if s.drop.Load() {
		panic(http.ErrAbortHandler)
	}
	http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
}

func (s *server) post(p *Pool, inc view.Incarnation, before func() error) error {
	res, err := p.Do(context.Background(), &Request{
		Address: s.address, Incarnation: inc, Method: http.MethodPost, Path: "/", Body: []byte("{}"),
		Header:     http.Header{"Idempotency-Key": {"k"}},
		BeforeSend: before,
	})
	if err != nil {
		return err
	}
	defer res.Close()
	if res.Status != http.StatusTemporaryRedirect {
		return fmt.Errorf("status %d", res.Status)
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// TestRequestSentAtMostOnce checks that a call sends at most one request, even if a
// reused connection is lost, and that redirects are not followed.
func TestRequestSentAtMostOnce(t *testing.T) {
	s, p := startServer(t), NewPool(Options{ProbePath: "/report"})
	defer p.Close()
	if err := s.post(p, 1, nil); err != nil {
		t.Fatal(err)
	}
	s.drop.Store(true)
	if err := s.post(p, 1, nil); !errors.Is(err, ErrConnectionLost) || errors.Is(err, ErrNotSent) {
		t.Errorf("on a lost connection: got %v, want ErrConnectionLost and not ErrNotSent", err)
	}
	if n := s.posts.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
}

func TestNotSent(t *testing.T) {
	s, p := startServer(t), NewPool(Options{ProbePath: "/report"})
	defer p.Close()
	stop := errors.New("stop")
	if err := s.post(p, 1, func() error { return stop }); !errors.Is(err, ErrNotSent) || !errors.Is(err, stop) {
		t.Errorf("refused by BeforeSend: got %v", err)
	}
	s.incarnation.Store(2)
	if err := s.post(p, 1, nil); !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrIncarnationMismatch) {
		t.Errorf("another incarnation: got %v", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	s.address = l.Addr().String()
	if err := s.post(p, 1, nil); !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrUnreachable) {
		t.Errorf("no listener: got %v", err)
	}
	if n := s.posts.Load(); n != 0 {
		t.Errorf("%d requests arrived, want none", n)
	}
}
