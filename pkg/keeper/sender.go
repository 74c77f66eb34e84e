package keeper

import (
	"context"
	"crypto/tls"
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// sender returns who sent a request; false on plain links, which tell nothing.
func sender(ctx context.Context) (access.Identity, bool) {
	c, ok := rpc.Conn(ctx).(*tls.Conn)
	if !ok {
		return access.Identity{}, false
	}
	id, err := access.PeerOf(c.ConnectionState())
	return id, err == nil
}

// mayRenew tells whether a sync is from the gate that it renews, or passed on
// by a keeper.
func mayRenew(ctx context.Context, req *control.GateSyncRequest) error {
	id, known := sender(ctx)
	switch {
	case !known, id.Role == access.Keeper && req.Forwarded:
		return nil
	case id.Role == access.Gate && id.Name == string(req.Gate.Name) && !req.Forwarded:
		return nil
	}
	return control.NewError(control.CodeDenied, fmt.Sprintf("%s has no right to the lease of gate %s", id, req.Gate.Name), nil)
}

// operatorName returns the name that a change is kept under: the one in the
// sender's certificate, or on plain links the one that the request gives.
func operatorName(ctx context.Context, given string) string {
	if id, known := sender(ctx); known {
		return id.Name
	}
	return given
}
