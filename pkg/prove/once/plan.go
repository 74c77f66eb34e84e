package once

import (
	"github.com/sesamemux/sesamemux/pkg/fake/service"
	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
)

// plan is one scenario: what strikes where.
type plan struct {
	strike strike // on a gate
	step   step

	logFault logFault // on calls to the records
	logOp    logOp

	serviceFault service.FaultKind
	replicas     bool         // the records are on three replicas
	handOver     bool         // only one gate has permits, and the others hand over to it
	restarts     bool         // the records are restored from their snapshot at each operation
	chaos        bool         // all faults at random
	asking       OutcomeQuery // "" for one from the seed

	machine machine.Unsafe
	proxy   serviceproxy.Unsafe
}
