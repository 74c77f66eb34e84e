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

// firstByte returns the first byte received by a listener.
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

// TestConnectionsToGatesUseTLS dials an address before it is a gate's, while it is, and after
// the gate has left the view. TLS must be used from the moment the gate is known.
func TestConnectionsToGatesUseTLS(t *testing.T) {
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
		{"before the gate is in the view", viewWith(1, ""), 'x'},
		{"gate in the view", viewWith(2, address), tlsHandshake},
		{"after the gate has left the view", viewWith(3, ""), tlsHandshake},
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
