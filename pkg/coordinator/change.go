package coordinator

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
)

// PutDocument validates an operator's document and puts it in force. A document whose version is
// not above the one in force changes nothing and is acknowledged too. ErrInvalid carries the
// reason; ErrUnavailable means that the outcome is unknown.
func (c *Coordinator) PutDocument(ctx context.Context, raw []byte) error {
	set, err := c.cfg.Decode(raw)
	if err != nil {
		return eris.Wrap(ErrInvalid, err.Error())
	}
	d, err := durable.Pack(set.Version, raw)
	if err != nil {
		return err
	}
	err = c.applyDocument(ctx, d)
	c.cfg.Logger.Info("document received", "version", set.Version, "bytes", len(raw), "acknowledged", err == nil, "cause", err)
	return err
}

// Evacuate withholds new requests from a failure domain. The change is durable when it returns nil. It is
// refused with ErrUnavailable if another order for the domain came after the base; see ZoneBase.
func (c *Coordinator) Evacuate(ctx context.Context, zone string, base *control.FleetBase) error {
	err := c.applyOrder(ctx, durable.Command{Evacuate: zone}, base)
	c.cfg.Logger.Info("evacuation requested", "zone", zone, "base", base, "acknowledged", err == nil, "cause", err)
	return err
}

// Restore ends an evacuation. Its base and errors are those of Evacuate.
func (c *Coordinator) Restore(ctx context.Context, zone string, base *control.FleetBase) error {
	err := c.applyOrder(ctx, durable.Command{Restore: zone}, base)
	c.cfg.Logger.Info("end of evacuation requested", "zone", zone, "base", base, "acknowledged", err == nil, "cause", err)
	return err
}

// applyDocument commits a document.
func (c *Coordinator) applyDocument(ctx context.Context, d *durable.Document) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return unavailable(c.commitChange(ctx, control.FleetChangeRequest{Command: durable.Command{Document: d}}))
}

// commitChange commits a change here if this coordinator leads, otherwise through the leader.
func (c *Coordinator) commitChange(ctx context.Context, req control.FleetChangeRequest) error {
	_, err := c.handleChange(ctx, req)
	if err == nil || !isNotLeader(err) {
		return err
	}
	var none struct{}
	return c.callLeader(ctx, control.MethodFleetChange, req, &none)
}

// unavailable wraps an error of the leader as ErrUnavailable, unless it is nil.
func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

// handleChange commits a change on the leader and waits until it is in force.
func (c *Coordinator) handleChange(ctx context.Context, req control.FleetChangeRequest) (struct{}, error) {
	if !c.leads() {
		return struct{}{}, notLeader(c.leaderAddress())
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var err error
	if zone := orderedZone(req.Command); zone != "" {
		err = c.proposeOrder(ctx, zone, req)
	} else {
		err = c.propose(ctx, req.Command)
	}
	if err == nil {
		err = c.awaitInForce(ctx, req.Command)
	}
	return struct{}{}, c.toRPCError(err)
}

func (c *Coordinator) propose(ctx context.Context, command durable.Command) error {
	r := c.replica.Load()
	if r == nil {
		return notLeader("")
	}
	raw, err := command.Encode()
	if err != nil {
		return eris.Wrap(err, "encode change")
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return refusal(r.node.Propose(ctx, raw))
}

// ReadDocument returns the document in force as confirmed by a quorum, or nil if there is none.
func (c *Coordinator) ReadDocument(ctx context.Context) (*durable.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if result, err := c.handleRead(ctx, struct{}{}); err == nil {
		return result.Document, nil
	}
	var result control.FleetReadResult
	if err := c.callLeader(ctx, control.MethodFleetRead, struct{}{}, &result); err != nil {
		return nil, err
	}
	return result.Document, nil
}

func (c *Coordinator) handleRead(ctx context.Context, _ struct{}) (control.FleetReadResult, error) {
	r := c.replica.Load()
	if r == nil || !c.leads() {
		return control.FleetReadResult{}, notLeader(c.leaderAddress())
	}
	if _, err := r.node.ReadIndex(ctx); err != nil {
		return control.FleetReadResult{}, c.toRPCError(err)
	}
	st, _ := r.store.State()
	return control.FleetReadResult{Document: st.Document}, nil
}

// handleDocument returns the document of this replica if it has at least the requested version.
// Committed documents need no confirmation by the leader.
func (c *Coordinator) handleDocument(_ context.Context, req control.FleetDocumentRequest) (control.FleetReadResult, error) {
	r := c.replica.Load()
	if r == nil {
		return control.FleetReadResult{}, nil
	}
	st, _ := r.store.State()
	if st.Document == nil || st.Document.Version < req.MinVersion {
		return control.FleetReadResult{}, nil
	}
	return control.FleetReadResult{Document: st.Document}, nil
}

// callLeader calls the leader that this replica follows. Only if it follows none, or that one leads no
// more, the leader is searched through the other coordinators: a leader that is slow to answer must not
// get its calls again by way of others.
func (c *Coordinator) callLeader(ctx context.Context, method control.Method, params, result any) error {
	address := c.leaderAddress()
	if address == "" || address == c.cfg.PeerAddress {
		return c.searchLeader(ctx, method, params, result)
	}
	err := c.caller.CallAt(ctx, address, method, params, result)
	if isNotLeader(err) && ctx.Err() == nil {
		return c.searchLeader(ctx, method, params, result)
	}
	return leaderError(err, method, address)
}

// searchLeader calls the leader, which is found through the other coordinators.
func (c *Coordinator) searchLeader(ctx context.Context, method control.Method, params, result any) error {
	err := c.caller.CallOnce(ctx, method, params, result)
	if isNotLeader(err) && ctx.Err() == nil {
		err = c.caller.CallOnce(ctx, method, params, result)
	}
	return leaderError(err, method, c.caller.Address())
}

// leaderError wraps an error of a call to the leader as ErrUnavailable. It keeps the answers that the
// calling coordinator acts on.
func leaderError(err error, method control.Method, address string) error {
	if err == nil || hasCode(err, control.CodeConflict) || hasCode(err, jsonrpc2.CodeMethodNotFound) {
		return err
	}
	return eris.Wrapf(ErrUnavailable, "%s at %s: %v", method, address, err)
}
