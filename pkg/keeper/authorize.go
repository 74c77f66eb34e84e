package keeper

import (
	"context"
	"crypto/tls"
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// peerIdentity returns the identity in the certificate of a request's sender, and false on
// connections without TLS, which carry none.
func peerIdentity(ctx context.Context) (access.Identity, bool) {
	c, ok := rpc.Conn(ctx).(*tls.Conn)
	if !ok {
		return access.Identity{}, false
	}
	id, err := access.PeerOf(c.ConnectionState())
	return id, err == nil
}

// authorizeSync returns an error unless a sync comes from the gate whose lease it renews or was
// forwarded by a keeper. Connections without TLS are not checked.
func authorizeSync(ctx context.Context, req *control.GateSyncRequest) error {
	id, known := peerIdentity(ctx)
	switch {
	case !known, id.Role == access.Keeper && req.Forwarded:
		return nil
	case id.Role == access.Gate && id.Name == string(req.Gate.Name) && !req.Forwarded:
		return nil
	}
	return control.NewError(control.CodeDenied, fmt.Sprintf("%s is not authorised to renew the lease of gate %s", id, req.Gate.Name), nil)
}

// operatorName returns the operator's name to store with a change: the one in the sender's
// certificate, or without TLS the one given in the request.
func operatorName(ctx context.Context, given string) string {
	if id, known := peerIdentity(ctx); known {
		return id.Name
	}
	return given
}
