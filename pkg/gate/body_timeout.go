package gate

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// limitBodyTime bounds the time until a request's body is whole, so that a slow
// sender holds nothing for long. The handler's own time is not bounded by it; 0
// sets no bound.
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

// timedBody lifts the connection's deadline once the body has ended.
type timedBody struct {
	io.ReadCloser
	lift func()
}

func newTimedBody(body io.ReadCloser, c *http.ResponseController) *timedBody {
	return &timedBody{ReadCloser: body, lift: sync.OnceFunc(func() { _ = c.SetReadDeadline(time.Time{}) })}
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.lift()
	}
	return n, err
}
