package gate

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// limitBodyTime limits the time to receive a request's body, so that slow senders can't hold
// connections and memory for long. It does not limit the handler's own time. If d is 0,
// there is no limit.
func limitBodyTime(next http.Handler, d time.Duration) http.Handler {
	if d <= 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			control := http.NewResponseController(w)
			if control.SetReadDeadline(time.Now().Add(d)) == nil {
				r.Body = newTimedBody(r.Body, control)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody clears the connection's read deadline once the body has been read.
type timedBody struct {
	io.ReadCloser
	clearDeadline func()
}

func newTimedBody(body io.ReadCloser, c *http.ResponseController) *timedBody {
	return &timedBody{ReadCloser: body, clearDeadline: sync.OnceFunc(func() { _ = c.SetReadDeadline(time.Time{}) })}
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.clearDeadline()
	}
	return n, err
}
