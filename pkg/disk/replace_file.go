package disk

import (
	"path"

	"github.com/rotisserie/eris"
)

// TempSuffix is the suffix of temporary files.
const TempSuffix = ".tmp"

// ReplaceFile atomically creates or replaces a file: it writes and syncs a temporary file, renames
// it and syncs the directory. After a crash either the former or the new file is there.
func ReplaceFile(fs FS, dir, name string, data []byte) error {
	target := path.Join(dir, name)
	temp := target + TempSuffix
	f, err := fs.Create(temp)
	if err != nil {
		return eris.Wrapf(err, "create %s", temp)
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return eris.Wrapf(err, "write %s", temp)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return eris.Wrapf(err, "sync %s", temp)
	}
	if err := f.Close(); err != nil {
		return eris.Wrapf(err, "close %s", temp)
	}
	if err := fs.Rename(temp, target); err != nil {
		return eris.Wrapf(err, "rename %s", temp)
	}
	return eris.Wrapf(fs.SyncDir(dir), "sync %s", dir)
}
