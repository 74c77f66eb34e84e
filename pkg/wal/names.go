package wal

import (
	"fmt"
	"path"
	"strconv"
	"strings"
)

const (
	lockName       = "LOCK"
	identityName   = "identity.json"
	segmentSuffix  = ".log"
	snapshotSuffix = ".snapshot"
)

func (l *Log) path(name string) string {
	return path.Join(l.dir, name)
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%016x%s", sequence, segmentSuffix)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%016x%s", index, snapshotSuffix)
}

// parseNumbers returns the numbers in the file names with a suffix, in the order of the names.
func parseNumbers(names []string, suffix string) []uint64 {
	var ns []uint64
	for _, name := range names {
		hex, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(hex, 16, 64)
		if err == nil {
			ns = append(ns, n)
		}
	}
	return ns
}

func corruptBefore(offset int) string {
	return fmt.Sprintf("record is corrupt, and a valid one follows at offset %d", offset)
}
