package disk

import (
	"path"

	"github.com/rotisserie/eris"
)

// TempSuffix ends the name of a file that is being written.
const TempSuffix = ".tmp"

// ReplaceFile puts a whole file of a folder in place, or leaves the former one:
// temporary file, sync, rename, sync of the folder.
func ReplaceFile(fs FS, dir, name string, data []byte) error {
	whole := path.Join(dir, name)
	temp := whole + TempSuffix
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
	if err := fs.Rename(temp, whole); err != nil {
		return eris.Wrapf(err, "rename %s", temp)
	}
	return eris.Wrapf(fs.SyncDir(dir), "sync %s", dir)
}
