package coordinator

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// joinOutcomes holds what each coordinator that a joiner asked has answered last.
type joinOutcomes struct {
	mu    sync.Mutex
	asked map[string]joinOutcome // by address
}

// joinOutcome is the last answer of one coordinator. The zero value is that of one that does not answer.
type joinOutcome struct {
	answered bool
	replica  control.ReplicaState // empty if the coordinator is of an earlier version or leads
	leader   string               // host:port of the leader that it names, or its own
	refusal  error                // of the leader
}

// newJoinOutcome returns the outcome of a call that failed, and the data that came with it.
func newJoinOutcome(address string, err error) (joinOutcome, control.NotLeader) {
	var coded *jsonrpc2.Error
	var data control.NotLeader
	switch {
	case !eris.As(err, &coded):
		return joinOutcome{}, data
	case coded.Code != control.CodeNotLeader:
		return joinOutcome{answered: true, leader: address, refusal: coded}, data
	}
	if coded.Data != nil && json.Unmarshal(*coded.Data, &data) != nil {
		data = control.NotLeader{}
	}
	return joinOutcome{answered: true, replica: data.Replica, leader: data.Leader}, data
}

// begin adds a coordinator. It reports whether that is new.
func (o *joinOutcomes) begin(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.asked[address]; ok {
		return false
	}
	if o.asked == nil {
		o.asked = map[string]joinOutcome{}
	}
	o.asked[address] = joinOutcome{}
	return true
}

func (o *joinOutcomes) record(address string, outcome joinOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked[address] = outcome
}

// log tells why there is no replica assignment yet.
func (o *joinOutcomes) log(logger *log.Logger) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var unreachable, withoutReplica, withReplica int
	var leaders []string
	var refusal error
	for _, a := range o.asked {
		switch {
		case !a.answered:
			unreachable++
		case a.leader != "" || a.replica == control.ReplicaLearner || a.replica == control.ReplicaVoter:
			withReplica++
		case a.replica != "":
			withoutReplica++
		}
		if a.leader != "" && !slices.Contains(leaders, a.leader) {
			leaders = append(leaders, a.leader)
		}
		if a.refusal != nil {
			refusal = a.refusal
		}
	}
	slices.Sort(leaders)
	cause := "no coordinator with a replica was reached"
	switch {
	case len(leaders) > 0:
		cause = "the leader has not let this coordinator in yet"
	case withReplica > 0:
		cause = "the coordinators with a replica have no leader"
	}
	logger.Warn("no replica assignment yet", "cause", cause, "asked", len(o.asked), "unreachable", unreachable,
		"without_replica", withoutReplica, "with_replica", withReplica, "leaders", leaders, "refusal", refusal)
}
