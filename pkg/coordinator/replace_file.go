package coordinator

import "github.com/sesamemux/sesamemux/pkg/disk"

// replaceFile atomically replaces a file, creates its folder if necessary, and syncs it to disk.
func replaceFile(files disk.FS, dir, name string, content []byte) error {
	if err := files.MkdirAll(dir); err != nil {
		return err
	}
	return disk.ReplaceFile(files, dir, name, content)
}
