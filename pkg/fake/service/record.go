package service

import (
	"sync"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// keyID identifies one key of one organisation.
type keyID struct {
	organisation string
	key          string
}

// Record holds the executed actions. Several hosts of a service may share one, as
// they would share a database.
type Record struct {
	mu            sync.Mutex
	executions    []Execution
	last          map[keyID]int   // index of the last execution
	rejected      map[string]bool // attempts that must not run
	rejectQueried bool
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		last:     make(map[keyID]int),
		rejected: make(map[string]bool),
	}
}

// RejectQueriedAttempts makes the record reject an attempt whose outcome was
// queried before it ran.
func (r *Record) RejectQueriedAttempts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejectQueried = true
}

// execute records an execution, unless its attempt is rejected.
func (r *Record) execute(e Execution, attempt string) (Execution, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != "" && r.rejected[attempt] {
		return Execution{}, false
	}
	e.Serial = len(r.executions) + 1
	r.last[keyID{e.Organisation, e.Key}] = len(r.executions)
	r.executions = append(r.executions, e)
	return e, true
}

// query returns the outcome of a key. If the key did not run and the record rejects
// queried attempts, the given attempt never runs later and the outcome is final.
func (r *Record) query(organisation, key, attempt string) (e Execution, o outcome.Outcome, final bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n, ok := r.last[keyID{organisation, key}]; ok {
		return r.executions[n], outcome.Ran, true
	}
	if r.rejectQueried && attempt != "" {
		r.rejected[attempt] = true
		return Execution{}, outcome.NotRun, true
	}
	return Execution{}, outcome.NotRun, false
}

// Executions returns all executions in the order in which they ran.
func (r *Record) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.executions...)
}
