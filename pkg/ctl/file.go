package ctl

import (
	"bytes"
	"fmt"
	"os"
	"strconv"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// revisionMark starts the comment that tells which object revision a file was
// taken from.
const revisionMark = "# object-revision: "

// setFile is a file with a set of objects.
type setFile struct {
	name string
	text []byte
	set  object.Set
}

// readSet reads and checks a file.
func readSet(name string) (setFile, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return setFile{}, &Failure{Code: ExitRefused, Message: err.Error()}
	}
	set, problems := object.Load(name, text)
	if len(problems) > 0 {
		return setFile{}, problemsFailure(problems)
	}
	return setFile{name, text, set}, nil
}

func problemsFailure(problems []object.Problem) *Failure {
	return &Failure{
		Code:     ExitRefused,
		Message:  count(len(problems), "problem") + " in the objects; nothing was published",
		Problems: problems,
	}
}

// base returns the revision that a file says it was taken from.
func (f setFile) base() (uint64, bool) {
	for line := range bytes.Lines(f.text) {
		rest, ok := bytes.CutPrefix(line, []byte(revisionMark))
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(rest)), 10, 64)
		return n, err == nil
	}
	return 0, false
}

func markRevision(revision uint64, text string) string {
	return fmt.Sprintf("%s%d\n%s", revisionMark, revision, text)
}
