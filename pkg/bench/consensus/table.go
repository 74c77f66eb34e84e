package consensus

import (
	"encoding/binary"
	"encoding/json"
)

const (
	tableKeys    = 1000
	commandBytes = 100
)

// table is a state machine of bounded size: it keeps the last command of each key.
type table struct {
	rows map[uint64][]byte
}

func newTable() *table {
	return &table{rows: map[uint64][]byte{}}
}

// newCommand returns a command for a key.
func newCommand(key uint64) []byte {
	c := make([]byte, commandBytes)
	binary.LittleEndian.PutUint64(c, key%tableKeys)
	return c
}

// Apply implements replica.Applier.
func (t *table) Apply(_ uint64, command []byte) any {
	t.rows[binary.LittleEndian.Uint64(command)] = command
	return nil
}

// Snapshot implements replica.Applier.
func (t *table) Snapshot() ([]byte, error) {
	return json.Marshal(t.rows)
}

// Restore implements replica.Applier.
func (t *table) Restore(data []byte) error {
	rows := map[uint64][]byte{}
	if err := json.Unmarshal(data, &rows); err != nil {
		return err
	}
	t.rows = rows
	return nil
}
