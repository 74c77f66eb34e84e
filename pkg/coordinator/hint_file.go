package coordinator

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// writeHint writes what this coordinator knows to a file in its data folder, from which it begins after a
// restart. The file is only a hint: it may be outdated or missing.
func (c *Coordinator) writeHint(name string, known any) error {
	raw, err := json.Marshal(known)
	if err != nil {
		return err
	}
	return replaceFile(c.cfg.FS, c.cfg.DataDir, name, raw)
}

// readHint reads a file of writeHint. It returns false if there is none.
func (c *Coordinator) readHint(name string, known any) (bool, error) {
	raw, err := os.ReadFile(filepath.Join(c.cfg.DataDir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err == nil {
		err = json.Unmarshal(raw, known)
	}
	return true, err
}
