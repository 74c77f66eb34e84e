package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const bodyTime = 30 * time.Second

// singleConnListener is a listener with one connection.
type singleConnListener struct {
	conns chan net.Conn
}

func (l singleConnListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l singleConnListener) Close() error   { return nil }
func (l singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestSlowBodies sends bodies at several speeds. Only receiving the body is limited: a
// handler may run for longer once the body has arrived in time.
func TestSlowBodies(t *testing.T) {
	for _, c := range []struct {
		name   string
		bytes  int           // bytes sent, out of 4
		pause  time.Duration // between two bytes
		status int
		took   time.Duration
	}{
		{"immediately, long work", 4, 0, http.StatusOK, 2 * bodyTime},
		{"slowly, long work", 4, 5 * time.Second, http.StatusOK, 20*time.Second + 2*bodyTime},
		{"too slowly", 4, 10 * time.Second, http.StatusBadRequest, bodyTime},
		{"never completely", 2, 0, http.StatusBadRequest, bodyTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				l := singleConnListener{make(chan net.Conn, 1)}
				l.conns <- far
				work := func(w http.ResponseWriter, r *http.Request) {
					if _, err := io.ReadAll(r.Body); err != nil {
						w.WriteHeader(http.StatusBadRequest)
						return
					}
					select {
					case <-time.After(2 * bodyTime):
					case <-r.Context().Done():
						w.WriteHeader(http.StatusBadGateway)
					}
				}
				server := &http.Server{Handler: limitBodyTime(http.HandlerFunc(work), bodyTime)}
				go func() { _ = server.Serve(l) }()
				began := time.Now()
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					_, _ = fmt.Fprint(near, "POST / HTTP/1.1\r\nHost: g\r\nContent-Length: 4\r\n\r\n")
					for _, b := range strings.Split("body"[:c.bytes], "") {
						time.Sleep(c.pause)
						if _, err := io.WriteString(near, b); err != nil {
							return
						}
					}
				}()
				resp, err := http.ReadResponse(bufio.NewReader(near), nil)
				if err != nil {
					t.Fatal(err)
				}
				if took := time.Since(began); resp.StatusCode != c.status || took != c.took {
					t.Errorf("got status %d after %s, want %d after %s", resp.StatusCode, took, c.status, c.took)
				}
				_ = near.Close()
				close(l.conns)
				_ = server.Close()
				<-sent
				synctest.Wait()
			})
		})
	}
}
