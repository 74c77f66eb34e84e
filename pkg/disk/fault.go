package disk

// Operation is a file system operation.
type Operation string

// Operations into which faults can be injected.
const (
	OpCreate  Operation = "create"
	OpWrite   Operation = "write"
	OpSync    Operation = "sync"
	OpRename  Operation = "rename"
	OpSyncDir Operation = "sync-dir"
	OpRemove  Operation = "remove"
)

// Fault is a fault that is injected into an operation.
type Fault uint8

// Faults.
const (
	NoFault     Fault = iota
	CrashBefore       // crash before the operation is executed
	CrashAfter        // crash after the operation was executed
	FailSync          // the operation fails; a failed sync discards the unsynced content
	Full              // the operation fails with ErrFull; a write writes half of its data
)

// Injector returns the fault to inject into an operation. It is called with the file system's mutex
// held and must not call the file system.
type Injector func(op Operation, name string) Fault
