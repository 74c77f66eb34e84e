package matrix

import (
	"errors"
	"os"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

// knownFailuresFile lists rows that fail for a fault that is not yet fixed, one
// entry a line, each starting with the row's key: area/fault/step.
const knownFailuresFile = "../../../KNOWN-RED.txt"

// knownFailures holds the entries of the file.
type knownFailures []string

// readKnownFailures reads the file. A missing file means that there are no entries.
func readKnownFailures(path string) (knownFailures, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return strings.Split(strings.TrimSpace(string(data)), "\n"), nil
}

// contains reports whether a row is listed.
func (k knownFailures) contains(row prove.Row) bool {
	for _, entry := range k {
		if strings.HasPrefix(entry, rowKey(row)) {
			return true
		}
	}
	return false
}

// rowKey returns the key that identifies a row.
func rowKey(row prove.Row) string {
	return row.Area + "/" + row.Fault + "/" + row.Step
}
