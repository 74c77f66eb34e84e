package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// questionedServer answers requests by its GET handler, and counts others.
type questionedServer struct {
	get      http.HandlerFunc
	requests atomic.Int64
}

func (s *questionedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		s.get(w, r)
		return
	}
	s.requests.Add(1)
}

func TestRequestFollowsItsQuestionOnlyIfThatIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		get     http.HandlerFunc
		timeout time.Duration
		sent    int64
	}{
		"refused": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, time.Minute, 1},
		"refused and closed": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, time.Minute, 1},
		"broken off": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, time.Minute, 0},
		"silent":     {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 50 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &questionedServer{get: c.get}
			h := &http.Server{Handler: s}
			go func() { _ = h.Serve(l) }()
			defer func() { _ = h.Close() }()
			p := NewPool(Options{ProbeTimeout: c.timeout})
			defer p.Close()
			question, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/health", nil)
			if err != nil {
				t.Fatal(err)
			}
			res, err := p.Do(context.Background(), &Request{Address: l.Addr().String(), Method: http.MethodPost, Path: "/", Question: question})
			if err == nil {
				res.Close()
			}
			if sent := s.requests.Load(); sent != c.sent {
				t.Errorf("%d requests were sent, want %d", sent, c.sent)
			}
			if c.sent == 0 && !errors.Is(err, ErrNotSent) {
				t.Errorf("the error %v does not say that the request was not sent", err)
			}
		})
	}
}
