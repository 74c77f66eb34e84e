package coordinator

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
)

// PutDocument checks an operator's document and puts it in force. A document
// whose version is not above the one in force changes nothing and is
// acknowledged too. ErrInvalid gives the reason; ErrUnavailable says that the
// outcome is not known.
func (c *Coordinator) PutDocument(ctx context.Context, raw []byte) error {
	set, err := c.cfg.Decode(raw)
	if err != nil {
		return eris.Wrap(ErrInvalid, err.Error())
	}
	d, err := durable.Pack(set.Version, raw)
	if err != nil {
		return err
	}
	err = c.change(ctx, durable.Command{Document: d})
	c.cfg.Logger.Info("document received", "version", set.Version, "bytes", len(raw), "acknowledged", err == nil, "cause", err)
	return err
}

// Evacuate keeps new requests from a failure domain; Restore allows them
// again. Both are durable when they return nil.
func (c *Coordinator) Evacuate(ctx context.Context, zone string) error {
	err := c.change(ctx, durable.Command{Evacuate: zone})
	c.cfg.Logger.Info("evacuation ordered", "zone", zone, "acknowledged", err == nil, "cause", err)
	return err
}

// Restore ends an evacuation.
func (c *Coordinator) Restore(ctx context.Context, zone string) error {
	err := c.change(ctx, durable.Command{Restore: zone})
	c.cfg.Logger.Info("end of an evacuation ordered", "zone", zone, "acknowledged", err == nil, "cause", err)
	return err
}

func (c *Coordinator) change(ctx context.Context, command durable.Command) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if _, err := c.changed(ctx, command); err == nil {
		return nil
	}
	var none struct{}
	return c.callLeader(ctx, control.MethodFleetChange, command, &none)
}

// changed puts a change in the log, on the leader.
func (c *Coordinator) changed(ctx context.Context, command durable.Command) (struct{}, error) {
	return struct{}{}, c.translate(c.propose(ctx, command))
}

func (c *Coordinator) propose(ctx context.Context, command durable.Command) error {
	r := c.node.Load()
	if r == nil {
		return notLeader("")
	}
	raw, err := command.Encode()
	if err != nil {
		return eris.Wrap(err, "encode change")
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := r.node.Propose(ctx, raw)
	if err != nil {
		return err
	}
	if refused, ok := result.(error); ok {
		return refused
	}
	return nil
}

// ReadDocument returns the document in force, confirmed by a quorum; nil when
// there is none.
func (c *Coordinator) ReadDocument(ctx context.Context) (*durable.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if result, err := c.read(ctx, struct{}{}); err == nil {
		return result.Document, nil
	}
	var result control.FleetReadResult
	if err := c.callLeader(ctx, control.MethodFleetRead, struct{}{}, &result); err != nil {
		return nil, err
	}
	return result.Document, nil
}

func (c *Coordinator) read(ctx context.Context, _ struct{}) (control.FleetReadResult, error) {
	r := c.node.Load()
	if r == nil {
		return control.FleetReadResult{}, notLeader("")
	}
	if _, err := r.node.ReadIndex(ctx); err != nil {
		return control.FleetReadResult{}, c.translate(err)
	}
	st, _ := r.store.State()
	return control.FleetReadResult{Document: st.Document}, nil
}

// document hands out the document that this replica holds, if it is of a version
// or newer; all that is committed may be told.
func (c *Coordinator) document(_ context.Context, req control.FleetDocumentRequest) (control.FleetReadResult, error) {
	r := c.node.Load()
	if r == nil {
		return control.FleetReadResult{}, nil
	}
	st, _ := r.store.State()
	if st.Document == nil || st.Document.Version < req.MinVersion {
		return control.FleetReadResult{}, nil
	}
	return control.FleetReadResult{Document: st.Document}, nil
}

// callLeader finds the leader among the other coordinators and calls it.
func (c *Coordinator) callLeader(ctx context.Context, method control.Method, params, result any) error {
	if peer := c.leaderPeer(); peer != "" && peer != c.cfg.PeerAddress {
		c.caller.HintLeader(peer)
	}
	err := c.caller.CallOnce(ctx, method, params, result)
	var coded *jsonrpc2.Error
	if eris.As(err, &coded) && coded.Code == control.CodeNotLeader && ctx.Err() == nil {
		err = c.caller.CallOnce(ctx, method, params, result)
	}
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "%s at %s: %v", method, c.caller.Address(), err)
	}
	return nil
}
