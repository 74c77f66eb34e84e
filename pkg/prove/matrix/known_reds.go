package matrix

import (
	"errors"
	"os"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

// knownRedFile lists rows that are red for a fault not yet mended, one entry a
// line, each with the row's key in front: area/fault/step.
const knownRedFile = "../../../KNOWN-RED.txt"

// knownReds holds the entries of the file.
type knownReds []string

// readKnownReds reads the file; without one nothing is known to be red.
func readKnownReds(path string) (knownReds, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return strings.Split(strings.TrimSpace(string(data)), "\n"), nil
}

// lists tells whether a row is listed.
func (k knownReds) lists(row prove.Row) bool {
	for _, entry := range k {
		if strings.HasPrefix(entry, key(row)) {
			return true
		}
	}
	return false
}

// key names a row.
func key(row prove.Row) string {
	return row.Area + "/" + row.Fault + "/" + row.Step
}
