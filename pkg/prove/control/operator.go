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
	// callTimeout bounds one call of an operator.
	callTimeout = time.Second
)

// objectsText is the set that operators publish; weight tells the changes
// apart.
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

// accepted is one change that an operator knows to be accepted.
type accepted struct {
	changeID string
	weight   int
	result   api.ChangeResult
	at       time.Time
}

// operator publishes changes and keeps account of what was accepted.
type operator struct {
	bed    *bed
	name   string
	caller *leader.Caller
	alive  *atomic.Bool

	accepted []accepted
	open     []string // change IDs with an unknown outcome
}

func newOperator(b *bed, name string) *operator {
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

// publish publishes a weight over the objects in force. It sends the change
// again under its ID until its outcome is known or it was tried often enough.
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
	o.settle(weight, req.ChangeID, func(result any) error {
		return o.call(api.MethodApply, req, result)
	})
}

// settle repeats a change until its outcome is known.
func (o *operator) settle(weight int, id string, send func(result any) error) {
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
	o.open = append(o.open, id)
}

// refused tells whether an error says that the change was not accepted.
func refused(err error) bool {
	var coded *jsonrpc2.Error
	if !eris.As(err, &coded) {
		return false
	}
	return coded.Code == api.CodeConflict || coded.Code == api.CodeInvalid || coded.Code == api.CodeNotFound
}

// drain takes a failure domain out, or back in.
func (o *operator) drain(id, domain string, m api.Method) {
	req := api.DrainRequest{ChangeID: id, Kind: view.DrainFailureDomain, Name: domain}
	o.settle(0, id, func(result any) error { return o.call(m, req, result) })
}

// history reads the accepted changes from the leader.
func (o *operator) history() ([]api.Change, error) {
	var out api.HistoryResult
	err := o.bed.await("answer to history", func() bool {
		return o.call(api.MethodHistory, struct{}{}, &out) == nil
	})
	return out.Changes, err
}

// weightOf reads the weight in a view.
func weightOf(v *view.View) int {
	org, _ := v.Organisations.Get("north-quay")
	return org.Weight
}
