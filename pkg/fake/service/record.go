package service

import (
	"sync"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// callID names one key of one organisation.
type callID struct {
	organisation string
	key          string
}

// Record holds what was executed. Several hosts of a service may share one,
// as they would share a database.
type Record struct {
	mu         sync.Mutex
	executions []Execution
	last       map[callID]int  // index of the last execution
	barred     map[string]bool // attempts that may not run
	bars       bool
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		last:   make(map[callID]int),
		barred: make(map[string]bool),
	}
}

// RejectQueriedAttempts lets the record keep an attempt that is asked for before it ran from
// running later.
func (r *Record) RejectQueriedAttempts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bars = true
}

// execute adds an execution, unless its attempt is barred.
func (r *Record) execute(e Execution, attempt string) (Execution, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != "" && r.barred[attempt] {
		return Execution{}, false
	}
	e.Serial = len(r.executions) + 1
	r.last[callID{e.Organisation, e.Key}] = len(r.executions)
	r.executions = append(r.executions, e)
	return e, true
}

// ask tells whether a key ran. If it did not, and the record bars, the attempt
// that is asked for never will; final tells so.
func (r *Record) ask(organisation, key, attempt string) (e Execution, o outcome.Outcome, final bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n, ok := r.last[callID{organisation, key}]; ok {
		return r.executions[n], outcome.Ran, true
	}
	if r.bars && attempt != "" {
		r.barred[attempt] = true
		return Execution{}, outcome.NotRun, true
	}
	return Execution{}, outcome.NotRun, false
}

// Executions returns all executions in order.
func (r *Record) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.executions...)
}
