package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// Peer is one keeper of the initial quorum.
type Peer struct {
	ID      uint64
	Address string // IP:port of its JSON-RPC interface
}

func parsePeer(s string) (Peer, error) {
	id, address, ok := strings.Cut(s, "@")
	n, err := strconv.ParseUint(id, 10, 64)
	if !ok || err != nil {
		return Peer{}, fmt.Errorf("%q is not id@IP:port", s)
	}
	return Peer{ID: n, Address: address}, nil
}

func formatPeer(p Peer) string { return fmt.Sprintf("%d@%s", p.ID, p.Address) }

func checkPeer(p Peer) error {
	if p.ID == 0 {
		return fmt.Errorf("id of %s is 0; ids start at 1", p.Address)
	}
	return checkAddress(p.Address)
}
