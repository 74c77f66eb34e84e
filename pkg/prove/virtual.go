package prove

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rotisserie/eris"
)

// ErrNotFinished is returned for a scenario that panicked or whose synctest bubble
// failed.
var ErrNotFinished = eris.New("scenario did not finish")

// InVirtualTime wraps a scenario so that it runs in virtual time: sleeps and timers
// elapse immediately once all its goroutines are blocked. The scenario must end all
// goroutines that it starts. It works only in test binaries, such as that of the
// matrix, since testing/synctest requires one.
func InVirtualTime(s Scenario) Scenario {
	return func(seed uint64) error {
		err := error(ErrNotFinished)
		run := func(t *testing.T) {
			synctest.Test(t, func(*testing.T) { err = s(seed) })
		}
		testing.RunTests(matchScenario, []testing.InternalTest{{Name: "scenario", F: run}})
		return err
	}
}

// matchScenario matches a scenario with each pattern of names of tests but those to skip: it is run
// from a test that is not skipped.
func matchScenario(pattern, _ string) (bool, error) {
	skip := flag.Lookup("test.skip")
	if skip == nil {
		return true, nil
	}
	patterns := strings.FieldsFunc(skip.Value.String(), func(r rune) bool { return r == '|' || r == '/' })
	return !slices.Contains(patterns, pattern), nil
}
