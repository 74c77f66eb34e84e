package ctl

import (
	"bytes"
	"fmt"
	"os"
	"strconv"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// revisionCommentPrefix starts the comment with the object revision that a file is based on.
const revisionCommentPrefix = "# object-revision: "

// setFile is a file with a set of objects.
type setFile struct {
	name string
	text []byte
	set  object.Set
}

// readSet reads and validates a file.
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
		Message:  quantity(len(problems), "problem") + " in the objects; nothing was published",
		Problems: problems,
	}
}

// baseRevision returns the object revision in the file's comment, if there is one.
func (f setFile) baseRevision() (uint64, bool) {
	for line := range bytes.Lines(f.text) {
		rest, ok := bytes.CutPrefix(line, []byte(revisionCommentPrefix))
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(rest)), 10, 64)
		return n, err == nil
	}
	return 0, false
}

func markRevision(revision uint64, text string) string {
	return fmt.Sprintf("%s%d\n%s", revisionCommentPrefix, revision, text)
}
