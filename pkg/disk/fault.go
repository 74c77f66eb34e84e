package disk

// Operation names what a file system is about to do.
type Operation string

// Operations that faults may strike.
const (
	OpCreate  Operation = "create"
	OpWrite   Operation = "write"
	OpSync    Operation = "sync"
	OpRename  Operation = "rename"
	OpSyncDir Operation = "sync-dir"
	OpRemove  Operation = "remove"
)

// Fault is what happens to an operation.
type Fault uint8

// Faults.
const (
	NoFault     Fault = iota
	CrashBefore       // crash, the operation is not carried out
	CrashAfter        // the operation is carried out, then the crash
	FailSync          // the operation fails; unsynced content is lost for good
	Full              // the operation fails with ErrFull, half written
)

// Injector decides about each operation. It is called with the file system
// locked and must not call it.
type Injector func(op Operation, name string) Fault
