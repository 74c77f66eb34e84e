package gatedaemon

import (
	"net"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/access/accesstest"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// tlsHandshake is the first byte of a TLS record with a handshake message.
const tlsHandshake = 0x16

// firstByte returns the first byte that comes to a port.
func firstByte(t *testing.T, l net.Listener) <-chan byte {
	t.Helper()
	first := make(chan byte, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		var b [1]byte
		_, _ = c.Read(b[:])
		first <- b[0]
	}()
	return first
}

// TestRequestsToGatesAreProtected dials the address of a gate, also after the
// gate is gone from the view, and that of an upstream.
func TestRequestsToGatesAreProtected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	address := l.Addr().String()
	current := view.New()
	d := newTargetDialer(accesstest.New(t, "shops").Transport(access.Gate, "g1"), func() *view.View { return current })

	dial := func() (net.Conn, error) { return d.dial(t.Context(), address) }
	service := func() (net.Conn, error) { return d.dialService(t.Context(), "tcp", address) }
	views := []struct {
		name string
		next *view.View
		want byte
	}{
		{"no gate yet", viewWith(1, ""), 'x'},
		{"a gate", viewWith(2, address), tlsHandshake},
		{"no gate any more", viewWith(3, ""), tlsHandshake},
	}
	for _, v := range views {
		current = v.next
		for _, dial := range []func() (net.Conn, error){dial, service} {
			first := firstByte(t, l)
			if c, err := dial(); err == nil {
				_, _ = c.Write([]byte("x"))
				_ = c.Close()
			}
			if got := <-first; got != v.want {
				t.Errorf("%s: first byte is %#x, want %#x", v.name, got, v.want)
			}
		}
	}
}

func viewWith(r view.Revision, peer string) *view.View {
	v := view.New()
	v.Revision = r
	if peer != "" {
		v.Gates.Put("g2", view.Gate{Name: "g2", PeerAddress: peer}, r)
	}
	return v
}
