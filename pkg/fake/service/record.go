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
	last       map[callID]int // index of the last execution
	barred     map[callID]bool
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		last:   make(map[callID]int),
		barred: make(map[callID]bool),
	}
}

// execute adds an execution, unless its key is barred.
func (r *Record) execute(e Execution) (Execution, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := callID{e.Organisation, e.Key}
	if r.barred[id] {
		return Execution{}, false
	}
	e.Serial = len(r.executions) + 1
	r.last[id] = len(r.executions)
	r.executions = append(r.executions, e)
	return e, true
}

// ask tells whether a key ran. With bar it keeps a key that did not from
// running later.
func (r *Record) ask(organisation, key string, bar bool) (Execution, outcome.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := callID{organisation, key}
	if n, ok := r.last[id]; ok {
		return r.executions[n], outcome.Ran
	}
	if bar {
		r.barred[id] = true
	}
	return Execution{}, outcome.NotRun
}

// Executions returns all executions in order.
func (r *Record) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.executions...)
}
