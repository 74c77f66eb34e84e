package consensus

import (
	"encoding/json"
	"maps"
	"sync"
)

// command is a compare-and-set of one register.
type command struct {
	Key int `json:"key"`
	Old int `json:"old"`
	New int `json:"new"`
}

// registers is the replicated state. Clients read it after a ReadIndex.
type registers struct {
	mu          sync.Mutex
	values      map[int]int
	beforeApply func() // called before a command is applied, unless nil
}

func newRegisters() *registers {
	return &registers{values: map[int]int{}}
}

// Apply implements replica.Applier. The result is whether the value was set.
func (r *registers) Apply(_ uint64, data []byte) any {
	if hook := r.hook(); hook != nil {
		hook()
	}
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.values[c.Key] != c.Old {
		return false
	}
	r.values[c.Key] = c.New
	return true
}

func (r *registers) hook() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.beforeApply
}

// Snapshot implements replica.Applier.
func (r *registers) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r.values)
}

// Restore implements replica.Applier.
func (r *registers) Restore(data []byte) error {
	values := map[int]int{}
	if err := json.Unmarshal(data, &values); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values = values
	return nil
}

func (r *registers) get(key int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

func (r *registers) copy() map[int]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.values)
}
