package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// ask sends a question to an address on a new connection, and lets read read the answer, until ctx ends. It
// returns what read returns, or false if the question could not be sent.
func ask(ctx context.Context, connect upstream.DialFunc, address string, question *http.Request, read func(net.Conn) bool) bool {
	question.Close = true
	conn, err := connect(ctx, address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := question.Write(conn); err != nil {
		return false
	}
	return read(conn)
}
