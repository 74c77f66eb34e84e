package once

import (
	"github.com/sesamemux/sesamemux/pkg/fake/service"
	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
)

// plan describes the faults of a scenario and where they are injected.
type plan struct {
	gateFault gateFault // injected into a gate at step
	step      step

	logFault logFault // injected into calls to the records
	logOp    logOp

	serviceFault   service.FaultKind
	replicas       bool         // the records are replicated on three replicas
	handOver       bool         // only one gate has permits, and the others hand calls over to it
	restoreRecords bool         // the records are restored from their snapshot before each operation
	chaos          bool         // all faults at random
	outcomeQuery   OutcomeQuery // "" for a random kind

	machine machine.Unsafe
	proxy   serviceproxy.Unsafe
}
