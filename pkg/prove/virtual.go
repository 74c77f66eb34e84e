package prove

import (
	"testing"
	"testing/synctest"

	"github.com/rotisserie/eris"
)

// ErrNotFinished says that a scenario ended by a panic or a failed bubble.
var ErrNotFinished = eris.New("scenario did not finish")

// InVirtualTime makes a scenario run in virtual time: sleeps and timers pass at once
// when every goroutine of the scenario waits. The scenario must end all
// goroutines that it starts. It works in test binaries alone, which have the
// virtual time; the matrix is one.
func InVirtualTime(s Scenario) Scenario {
	return func(seed uint64) error {
		err := error(ErrNotFinished)
		run := func(t *testing.T) {
			synctest.Test(t, func(*testing.T) { err = s(seed) })
		}
		all := func(string, string) (bool, error) { return true, nil }
		testing.RunTests(all, []testing.InternalTest{{Name: "scenario", F: run}})
		return err
	}
}
