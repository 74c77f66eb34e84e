package coordinator

import "github.com/sesamemux/sesamemux/pkg/disk"

// writeWhole replaces a file of a folder that may not be there yet, wholly or
// not at all, and syncs it.
func writeWhole(dir, name string, content []byte) error {
	files := disk.OS{}
	if err := files.MkdirAll(dir); err != nil {
		return err
	}
	return disk.ReplaceFile(files, dir, name, content)
}
