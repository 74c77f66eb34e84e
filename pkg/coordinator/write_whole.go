package coordinator

import (
	"errors"
	"path/filepath"

	"github.com/sesamemux/sesamemux/pkg/disk"
)

// writeWhole replaces a file of a folder, wholly or not at all, and syncs it.
func writeWhole(dir, name string, content []byte) error {
	files := disk.OS{}
	if err := files.MkdirAll(dir); err != nil {
		return err
	}
	path := filepath.Join(dir, name)
	f, err := files.Create(path + ".tmp")
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := files.Rename(path+".tmp", path); err != nil {
		return err
	}
	return files.SyncDir(dir)
}
