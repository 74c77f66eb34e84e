package rpc

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/jsonrpc2"
)

// denyAll refuses all calls.
type denyAll struct{}

// Authorize implements Authorizer.
func (denyAll) Authorize(context.Context, net.Conn, string) error {
	return &jsonrpc2.Error{Code: 7, Message: "no"}
}

// TestLogLinesAreKeyValue makes a refused call and simulates a protocol error. Each must give one
// log line of key=value pairs.
func TestLogLinesAreKeyValue(t *testing.T) {
	var out bytes.Buffer
	s := NewServer(WithAuthorizer(denyAll{}), WithLogger(log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter})))
	defer s.Close()
	near, far := net.Pipe()
	s.ServeConn(far)
	client := NewClient("pipe", func(context.Context, string) (net.Conn, error) { return near, nil })
	err := client.Call(t.Context(), "unheard-of", nil, nil)
	var coded *jsonrpc2.Error
	if !errors.As(err, &coded) || coded.Code != 7 {
		t.Fatalf("error is %v", err)
	}
	client.Close()

	connLogger{logger: s.logger, remote: "r"}.Printf("jsonrpc2: protocol error: %v\n", "x y")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{
		`level=warn msg="rpc request refused" method=unheard-of remote=pipe err="jsonrpc2: code 7 message: no"`,
		`level=warn msg="rpc connection failed" remote=r err="jsonrpc2: protocol error: x y"`,
	}
	for i, w := range want {
		if i >= len(lines) || lines[i] != w {
			t.Fatalf("logged\n%s\nwant\n%s", out.String(), strings.Join(want, "\n"))
		}
	}
}
