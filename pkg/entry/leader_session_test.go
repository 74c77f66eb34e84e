package entry

import (
	"testing"
	"testing/synctest"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
)

func TestCrashesAreReportedAgainToNewLeadersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, nil)
		g := b.gateway
		g.guard.Crashed(g.now(), "f", quarantine.SeenCrash{Crash: quarantine.Crash{Upstream: "u", StartedMS: 1}, At: g.now()})
		for i, c := range []struct {
			result control.FleetSyncResult
			again  int
		}{
			{control.FleetSyncResult{Session: "l1", LeaderSession: "l1"}, 1},
			{control.FleetSyncResult{Session: "l1@a", LeaderSession: "l1"}, 0},
			{control.FleetSyncResult{Session: "l1@b", LeaderSession: "l1"}, 0},
			{control.FleetSyncResult{Session: "l2@b", LeaderSession: "l2"}, 1},
			{control.FleetSyncResult{Session: "l3"}, 1}, // of an earlier version
		} {
			g.followLeader(c.result)
			if runs, _ := g.reporter.take(); len(runs.crashed) != c.again {
				t.Errorf("result %d: %d crashes reported again, want %d", i, len(runs.crashed), c.again)
			}
		}
	})
}
