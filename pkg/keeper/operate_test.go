package keeper

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/access/accesstest"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/ctl"
	"github.com/sesamemux/sesamemux/pkg/gate"
	"github.com/sesamemux/sesamemux/pkg/introspect"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	firstSet  = "[failure-domain fd-a]\nregion = r\n\n[organisation quay]\nweight = 2\n"
	secondSet = "[failure-domain fd-a]\nregion = r\n\n[organisation quay]\nweight = 3\n"
	wrongSet  = "[organisation quay]\nweight = heavy\n"
)

// noUses is the use source of a gate without work.
type noUses struct{}

func (noUses) Uses() []view.TargetUse            { return nil }
func (noUses) Settled(*view.View) []view.GroupID { return nil }

// startGate runs a gate without callers and returns its RPC address.
func startGate(t *testing.T, links *access.Transport, keepers []string) string {
	t.Helper()
	anyPort := "127.0.0.1:0"
	ports, err := gate.Listen(gate.Addresses{Callers: anyPort, Peers: anyPort, Upstreams: anyPort, RPC: anyPort}, 1, links)
	if err != nil {
		t.Fatal(err)
	}
	events := recorderWithSkew(t, "gate/g1", 0)
	address := ports.RPC.Addr().String()
	g := gate.New(gate.Config{
		Self:       view.Gate{Name: "g1", Incarnation: 1, FailureDomain: "fd-a", RPCAddress: address},
		Caller:     leader.NewCaller(keepers, links.Dial(access.Keeper)),
		Clock:      clock.Boot{},
		Events:     gate.NewTimelineEvents(events),
		Timeline:   events,
		Logger:     log.New(io.Discard),
		Source:     noUses{},
		Limits:     gate.Limits{MaxRequestTime: time.Second},
		Listeners:  ports,
		Authorizer: links,
	})
	introspect.ServeTimeline(g.RPC(), "gate/g1", events)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return address
}

// operator runs sesamectl with an operator's certificate.
type operator struct {
	t       *testing.T
	links   *access.Transport
	servers string
}

// run executes one command, checks its exit code and that its output contains part, and returns
// its standard output.
func (o operator) run(code ctl.ExitCode, part string, args ...string) string {
	o.t.Helper()
	var out, errOut bytes.Buffer
	args = append(args, "--servers="+o.servers, "--timeout=60s")
	got := ctl.Run(args, ctl.Environment{Stdout: &out, Stderr: &errOut, Dial: o.links.Dial(access.Keeper, access.Gate)})
	if got != code || !strings.Contains(out.String()+errOut.String(), part) {
		o.t.Fatalf("sesamectl %v: exit %v, want %v and %q in\n%s%s", args, got, code, part, out.String(), errOut.String())
	}
	return out.String()
}

func writeObjects(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "objects.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestOperatorCommands makes changes with sesamectl against three keepers under TLS. sesamectl
// knows only the address of a gate.
func TestOperatorCommands(t *testing.T) {
	shops := accesstest.New(t, "shops")
	keeper := shops.Transport(access.Keeper, "k")
	recorder, err := timeline.NewRecorder(timeline.Options{Process: "keeper"})
	if err != nil {
		t.Fatal(err)
	}
	keepers := startKeepers(t, testCluster{links: keeper, size: 3, recorder: recorder})
	addresses := []string{keepers[0].address, keepers[1].address, keepers[2].address}
	server := startGate(t, shops.Transport(access.Gate, "g1"), addresses)
	ana := operator{t, shops.Transport(access.Operator, "ana"), server}
	first, second := writeObjects(t, firstSet), writeObjects(t, secondSet)

	ana.run(ctl.ExitRefused, "weight", "apply", writeObjects(t, wrongSet))
	ana.run(ctl.ExitOK, "object revision 1", "apply", "--wait", "--change-id=c-1", "--set=operator=eve", first)
	ana.run(ctl.ExitOK, "accepted earlier; this is the original result", "apply", "--change-id=c-1", first)
	ana.run(ctl.ExitRefused, "", "apply", "--change-id=c-1", second)
	ana.run(ctl.ExitConflict, "started from object revision 0", "apply", "--base=0", second)
	ana.run(ctl.ExitOK, "object revision 2", "apply", "--base=1", "--change-id=c-2", second)
	ana.run(ctl.ExitOK, "weight", "diff", "--from=1")
	ana.run(ctl.ExitOK, "object revision 3", "rollback", "--wait", "--base=2", "--change-id=c-3", "1")
	if got := ana.run(ctl.ExitOK, "# object-revision: 3", "get"); !strings.Contains(got, "weight = 2") {
		t.Errorf("after the rollback:\n%s", got)
	}
	ana.run(ctl.ExitRefused, "", "drain", "--change-id=c-0", "failure-domain", "fd-none")
	ana.run(ctl.ExitOK, "in force everywhere", "drain", "--wait", "--change-id=c-4", "failure-domain", "fd-a")
	ana.run(ctl.ExitOK, "fd-a", "status")
	ana.run(ctl.ExitOK, "accepted earlier", "drain", "--change-id=c-4", "failure-domain", "fd-a")
	ana.run(ctl.ExitOK, "in force everywhere", "restore", "--wait", "--change-id=c-5", "failure-domain", "fd-a")

	if got := ana.run(ctl.ExitOK, `"operator": "ana"`, "history", "--output=json"); strings.Contains(got, "eve") {
		t.Errorf("history contains an operator name that is not from a certificate:\n%s", got)
	}
	want := []string{"c-5", "c-4", "c-3", "c-2", "c-1"}
	checkHistory(t, ana, want)
	for _, role := range []access.Role{access.Gate, access.Keeper, access.Upstream} {
		other := operator{t, shops.Transport(role, "eve"), server}
		other.run(ctl.ExitDenied, "nothing was changed", "drain", "failure-domain", "fd-a")
	}
	checkHistory(t, ana, want)

	ana.run(ctl.ExitOK, "change-accepted", "timeline", "--change=c-4")
	ana.run(ctl.ExitOK, "", "quarantine", "list")
	checkLeaderLoss(ana, leaderOf(t, ana, keepers), second)
}

// leaderOf polls until exactly one keeper leads. sesamectl must list all keepers.
func leaderOf(t *testing.T, o operator, keepers []testKeeper) testKeeper {
	t.Helper()
	for {
		status := o.run(ctl.ExitOK, "", "keeper", "status")
		var leads []testKeeper
		for i, k := range keepers {
			line := findLine(status, k.address)
			if line == "" {
				t.Fatalf("keeper %d is missing in\n%s", i+1, status)
			}
			if strings.Contains(line, "  leader ") {
				leads = append(leads, k)
			}
		}
		if len(leads) == 1 {
			return leads[0]
		}
	}
}

// checkLeaderLoss stops the leader. Accepted changes must persist and new ones must be possible.
func checkLeaderLoss(o operator, leading testKeeper, next string) {
	leading.stop()
	o.run(ctl.ExitOK, "object revision 4", "apply", "--wait", "--base=3", "--change-id=c-6", next)
	o.run(ctl.ExitOK, "accepted earlier", "apply", "--change-id=c-1", writeObjects(o.t, firstSet))
	checkHistory(o.t, o, []string{"c-6", "c-5", "c-4", "c-3", "c-2", "c-1"})
}

// checkHistory compares the change IDs, newest first.
func checkHistory(t *testing.T, o operator, want []string) {
	t.Helper()
	var got []string
	for line := range strings.Lines(o.run(ctl.ExitOK, "", "history")) {
		for _, f := range strings.Fields(line) {
			if strings.HasPrefix(f, "c-") {
				got = append(got, f)
			}
		}
	}
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Errorf("history has %v, want %v", got, want)
	}
}

func findLine(text, part string) string {
	for line := range strings.Lines(text) {
		if strings.Contains(line, part) {
			return line
		}
	}
	return ""
}
