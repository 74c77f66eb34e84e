package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	api "github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	operatorHost = "op"
	// callTimeout limits one call of an operator.
	callTimeout = time.Second
)

// objectsText is the set that operators publish. The weight identifies a change.
const objectsText = `
[failure-domain fd-a]
region = local
[failure-domain fd-b]
region = local
[fabric-domain fabric-1]
failure_domain = fd-a
hosts = 4
[fabric-domain fabric-2]
failure_domain = fd-b
hosts = 4
[version v1]
model = assistant
weights_bytes = 1GiB
[model-group assistant]
version = v1
copies = 4
minimum = 2
hosts_per_group = 2
[organisation north-quay]
weight = %d
`

// accepted is a change whose acceptance was reported to the operator.
type accepted struct {
	changeID string
	weight   int
	result   api.ChangeResult
	at       time.Time
}

// operator publishes changes and records which were accepted.
type operator struct {
	bed    *testbed
	name   string
	caller *leader.Caller
	alive  *atomic.Bool

	accepted []accepted
	unknown  []string // IDs of changes with an unknown outcome
}

func newOperator(b *testbed, name string) *operator {
	alive := &atomic.Bool{}
	alive.Store(true)
	return &operator{
		bed:    b,
		name:   name,
		alive:  alive,
		caller: leader.NewCaller(b.keeperAddresses(), b.dialer(operatorHost, alive)),
	}
}

func (o *operator) close() {
	o.alive.Store(false)
	o.caller.Close()
}

func (o *operator) call(m api.Method, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return o.caller.Call(ctx, m, params, result)
}

// publish publishes a weight, based on the objects in force. It resends the change
// under its ID until its outcome is known or the tries are used up.
func (o *operator) publish(weight int) {
	var base api.GetResult
	if err := o.call(api.MethodGet, api.GetRequest{}, &base); err != nil {
		return
	}
	req := api.ApplyRequest{
		ChangeID:     fmt.Sprintf("%s-%d", o.name, weight),
		BaseRevision: base.ObjectRevision,
		File:         "objects.ini",
		Text:         fmt.Sprintf(objectsText, weight),
	}
	o.resendUntilKnown(weight, req.ChangeID, func(result any) error {
		return o.call(api.MethodApply, req, result)
	})
}

// resendUntilKnown sends a change up to 30 times until its outcome is known.
func (o *operator) resendUntilKnown(weight int, id string, send func(result any) error) {
	const tries = 30
	for range tries {
		var result api.ChangeResult
		err := send(&result)
		if err == nil {
			o.accepted = append(o.accepted, accepted{changeID: id, weight: weight, result: result, at: time.Now()})
			return
		}
		if refused(err) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.unknown = append(o.unknown, id)
}

// refused reports whether an error says that the change was not accepted.
func refused(err error) bool {
	var coded *jsonrpc2.Error
	if !eris.As(err, &coded) {
		return false
	}
	return coded.Code == api.CodeConflict || coded.Code == api.CodeInvalid || coded.Code == api.CodeNotFound
}

// drain drains or restores a failure domain.
func (o *operator) drain(id, domain string, m api.Method) {
	req := api.DrainRequest{ChangeID: id, Kind: view.DrainFailureDomain, Name: domain}
	o.resendUntilKnown(0, id, func(result any) error { return o.call(m, req, result) })
}

// history returns the accepted changes as known to the leader.
func (o *operator) history() ([]api.Change, error) {
	var out api.HistoryResult
	err := o.bed.await("answer to history", func() bool {
		return o.call(api.MethodHistory, struct{}{}, &out) == nil
	})
	return out.Changes, err
}

// weightOf returns the organisation's weight in a view.
func weightOf(v *view.View) int {
	org, _ := v.Organisations.Get("north-quay")
	return org.Weight
}
