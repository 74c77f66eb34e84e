package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/timeline"
)

const servers = "--servers=127.0.0.1:1,127.0.0.1:2"

// follower and leader are the addresses in servers.
const (
	follower = "127.0.0.1:1"
	leader   = "127.0.0.1:2"
)

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "objects.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const goodObjects = "[organisation quay]\nweight = 2\n"

// TestChangesUnderFaults makes changes while servers fail in different ways: the exit code
// must agree with how often the change took effect.
func TestChangesUnderFaults(t *testing.T) {
	notLeader := errorFault(control.CodeNotLeader, control.NotLeader{Leader: leader})
	noLeader := errorFault(control.CodeNotLeader, control.NotLeader{})
	unavailable := errorFault(control.CodeUnavailable, nil)
	unknown := errorFault(control.CodeUnknown, nil)
	file := writeFile(t, goodObjects)
	old := writeFile(t, markRevision(7, goodObjects))
	apply := []string{"apply", servers, file}
	cases := []struct {
		name     string
		follower []fault
		leader   []fault
		args     []string
		code     ExitCode
		runs     int
		part     string // of all output
	}{
		{"accepted", nil, nil, apply, ExitOK, 1, "accepted as object revision 1"},
		{"follower names the leader", []fault{notLeader}, nil, apply, ExitOK, 1, "accepted as object revision 1"},
		{"follower knows no leader", []fault{noLeader}, nil, apply, ExitOK, 1, "accepted"},
		{"leaders name each other", []fault{notLeader, notLeader, notLeader}, []fault{errorFault(control.CodeNotLeader, control.NotLeader{Leader: follower}), errorFault(control.CodeNotLeader, control.NotLeader{Leader: follower})}, apply, ExitOK, 1, "accepted"},
		{"a server that does not know the method", repeat(errorFault(jsonrpc2.CodeMethodNotFound, nil)), nil, apply, ExitOK, 1, "accepted"},
		{"no server knows the method", repeat(errorFault(jsonrpc2.CodeMethodNotFound, nil)), repeat(errorFault(jsonrpc2.CodeMethodNotFound, nil)), apply, ExitRefused, 0, "name a keeper"},
		{"reply lost", []fault{loseReply}, nil, apply, ExitOK, 1, "accepted earlier; this is the original result"},
		{"reply lost twice", []fault{loseReply, loseReply}, []fault{loseReply}, apply, ExitOK, 1, "accepted earlier"},
		{"unknown, then accepted", []fault{unknown}, nil, apply, ExitOK, 1, "accepted"},
		{"no quorum for a while", []fault{unavailable, unavailable}, []fault{unavailable}, apply, ExitOK, 1, "accepted"},
		{"no quorum for long", repeat(unavailable), repeat(unavailable), apply, ExitUnavailable, 0, "nothing was changed"},
		{"no leader for long", repeat(noLeader), repeat(noLeader), apply, ExitUnavailable, 0, "no leader answered in time"},
		{"unknown for long", repeat(unknown), repeat(unavailable), apply, ExitUnknown, 0, "--change-id c-new-1"},
		{"reply lost, then no quorum", append([]fault{loseReply}, repeat(unavailable)...), repeat(unavailable), apply, ExitUnknown, 1, "--change-id c-new-1"},
		{"file of an old revision", nil, nil, []string{"apply", servers, old}, ExitConflict, 0, "started from object revision 7, but revision 0 is in force"},
		{"base by flag", nil, nil, []string{"apply", servers, "--base", "3", file}, ExitConflict, 0, "started from object revision 3"},
		{"problems at the server", []fault{errorFault(control.CodeInvalid, sampleProblems)}, nil, apply, ExitRefused, 0, "objects.ini:3: [version v1] model: is missing"},
		{"change ID of another change", []fault{errorFault(control.CodeInvalid, nil)}, nil, []string{"apply", servers, "--change-id", "c-1", file}, ExitRefused, 0, "as a new change"},
		{"no right", []fault{errorFault(control.CodeDenied, nil)}, nil, apply, ExitDenied, 0, "role operator"},
		{"problems here", nil, nil, []string{"apply", servers, writeFile(t, "[robot x]\n")}, ExitRefused, 0, "unknown kind"},
		{"no such file", nil, nil, []string{"apply", servers, "none.ini"}, ExitRefused, 0, "no such file"},
		{"rollback", nil, nil, []string{"rollback", servers, "0"}, ExitOK, 1, "base revision 0"},
		{"rollback resent without its base", nil, nil, []string{"rollback", servers, "--change-id", "c-1", "0"}, ExitUsage, 0, "needs --base"},
		{"drain", nil, nil, []string{"drain", servers, "--wait", "failure-domain", "fd-a"}, ExitOK, 1, "in force everywhere"},
		{"drain, then no quorum", append([]fault{nil}, repeat(unavailable)...), repeat(unavailable), []string{"drain", servers, "--wait", "failure-domain", "fd-a"}, ExitTimedOut, 1, "it stays accepted"},
		{"restore, reply lost", []fault{loseReply}, nil, []string{"restore", servers, "upstream", "h1"}, ExitOK, 1, "accepted earlier"},
		{"drain of nothing", []fault{errorFault(control.CodeNotFound, nil)}, nil, []string{"drain", servers, "upstream", "h9"}, ExitRefused, 0, "status and history"},
		{"drain of another kind", nil, nil, []string{"drain", servers, "rack", "r1"}, ExitUsage, 0, `must be one of "failure-domain","upstream"`},
		{"replacement", nil, nil, []string{"keeper", "replace", servers, "2", "4", "127.0.0.1:9"}, ExitOK, 0, "was replaced by 4"},
		{"replacement, reply lost", []fault{loseReply}, nil, []string{"keeper", "replace", servers, "2", "4", "127.0.0.1:9"}, ExitOK, 0, "was replaced by 4"},
		{"replacement, reply lost, then no quorum", append([]fault{loseReply}, repeat(unavailable)...), repeat(unavailable), []string{"keeper", "replace", servers, "2", "4", "127.0.0.1:9"}, ExitUnknown, 0, "continues where the first one stopped"},
		{"release, reply lost", []fault{loseReply}, nil, []string{"quarantine", "release", servers, "ab12"}, ExitOK, 0, "released ab12"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cl := newCluster(follower, leader)
			cl.stubs[follower].faults = c.follower
			cl.stubs[leader].faults = c.leader
			o := runCommand(t, cl, c.args...)
			if o.code != c.code || !strings.Contains(o.out+o.errOut, c.part) {
				t.Errorf("exit %d (%v), want %d and %q in\n%s%s", o.code, o.code, c.code, c.part, o.out, o.errOut)
			}
			if cl.runs != c.runs {
				t.Errorf("%d changes took effect, want %d", cl.runs, c.runs)
			}
		})
	}
}

// TestKeeperStatusThroughGate queries a gate: the keeper that it names must be listed, the
// gate itself must not.
func TestKeeperStatusThroughGate(t *testing.T) {
	cl := newCluster(follower, leader)
	cl.stubs[follower].faults = repeat(errorFault(control.CodeNotLeader, control.NotLeader{Leader: leader}))
	o := runCommand(t, cl, "keeper", "status", "--servers="+follower)
	if o.code != ExitOK || !strings.Contains(o.out, leader) || strings.Contains(o.out, follower) {
		t.Fatalf("exit %d\n%s%s", o.code, o.out, o.errOut)
	}
}

// repeat returns a fault often enough to outlast any command.
func repeat(f fault) []fault {
	list := make([]fault, 1000)
	for i := range list {
		list[i] = f
	}
	return list
}

func TestResendOfUnknownChange(t *testing.T) {
	file := writeFile(t, goodObjects)
	cl := newCluster(follower, leader)
	cl.answers["c-lost"] = control.ChangeResult{ObjectRevision: 5, ViewRevision: 9}
	o := runCommand(t, cl, "apply", servers, "-o", "json", "--change-id", "c-lost", file)
	got := decode[changeOutput](t, o.out)
	if o.code != ExitOK || got.ChangeID != "c-lost" || !got.Resent || got.ObjectRevision != 5 || cl.runs != 0 {
		t.Fatalf("%d %+v, %d runs", o.code, got, cl.runs)
	}
}

// TestReads runs the commands that change nothing.
func TestReads(t *testing.T) {
	cases := []struct {
		args []string
		code ExitCode
		part []string
	}{
		{[]string{"get"}, ExitOK, []string{"# object-revision: 3\n[organisation quay]"}},
		{[]string{"get", "1"}, ExitOK, []string{"# object-revision: 1"}},
		{[]string{"get", "-o", "json"}, ExitOK, []string{`"object_revision": 3`}},
		{[]string{"diff", "--from", "1"}, ExitOK, []string{"added [organisation quay]"}},
		{[]string{"diff"}, ExitOK, []string{"no differences"}},
		{[]string{"history", "--limit", "1"}, ExitOK, []string{"c-b"}},
		{[]string{"status"}, ExitOK, []string{"in force everywhere up to 39", "g1", "lapsed", "assistant-1", "h2 h3", "service records", "drained"}},
		{[]string{"status", "--domain", "fd-b"}, ExitOK, []string{"0 groups, 1 hosts of fd-b"}},
		{[]string{"status", "--short"}, ExitOK, []string{"in force everywhere up to 39"}},
		{[]string{"status", "-o", "json"}, ExitOK, []string{`"barrier": 39`}},
		{[]string{"wait"}, ExitOK, []string{"view revision 40 is in force everywhere"}},
		{[]string{"wait", "2000", "--wait-timeout", "5s"}, ExitTimedOut, []string{"behind: g2", "waiting for view revision 2000"}},
		{[]string{"keeper", "status"}, ExitOK, []string{"leader", "lost:1: dial", "silent"}},
		{[]string{"quarantine", "list"}, ExitOK, []string{"ab12", "convicted"}},
		{[]string{"timeline", "--domain", "fd-a"}, ExitOK, []string{"drain-started", "gate:1 did not answer"}},
		{[]string{"settings", "print"}, ExitOK, []string{"operator = ana", "SESAME_CTL_SERVERS"}},
		{[]string{"settings", "check", "--set", "timeout=never"}, ExitRefused, []string{"--set: timeout: ", "allowed: 100ms to 10m"}},
		{[]string{"status", "--set", "speed=3"}, ExitRefused, []string{"unknown key"}},
		{[]string{"explain", "model-group"}, ExitOK, []string{"hosts_per_group", "1 to 16", "required"}},
		{[]string{"explain", "robot"}, ExitUsage, []string{"not a kind of object"}},
		{[]string{"completion", "bash"}, ExitOK, []string{"complete -C sesamectl sesamectl"}},
		{[]string{"stauts"}, ExitUsage, []string{"sesamectl --help"}},
		{[]string{"apply"}, ExitUsage, []string{"<file>"}},
		{[]string{"apply", "--help"}, ExitOK, []string{"Examples:", "sesamectl apply --wait"}},
		{[]string{"--help"}, ExitOK, []string{"Exit codes: 0 ok"}},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			cl := newCluster(follower, leader)
			cl.revision = 3
			cl.texts[3] = goodObjects
			o := runCommand(t, cl, append(c.args, servers)...)
			if o.code != c.code {
				t.Errorf("exit %d, want %d", o.code, c.code)
			}
			for _, part := range c.part {
				if !strings.Contains(o.out+o.errOut, part) {
					t.Errorf("no %q in\n%s%s", part, o.out, o.errOut)
				}
			}
			if cl.runs != 0 {
				t.Errorf("%d changes took effect", cl.runs)
			}
		})
	}
}

func TestUnreachableServers(t *testing.T) {
	o := runCommand(t, newCluster(), "status", servers)
	if o.code != ExitUnavailable || !strings.Contains(o.errOut, "connection refused") {
		t.Fatalf("%d %s", o.code, o.errOut)
	}
	if o = runCommand(t, newCluster(), "timeline", servers); o.code != ExitUnavailable {
		t.Fatalf("%d %s", o.code, o.errOut)
	}
}

func TestFailureAsJSON(t *testing.T) {
	o := runCommand(t, newCluster(), "check", "-o", "json", writeFile(t, "[robot x]\n[version v]\n"))
	got := decode[failureJSON](t, o.errOut)
	if o.code != ExitRefused || got.Error != "refused" || len(got.Problems) != 2 || got.Problems[1].Line != 2 || got.Problems[1].Field != "model" {
		t.Fatalf("%d %+v", o.code, got)
	}
}

// TestTimelineOfFiles merges timeline files into a page without a server.
func TestTimelineOfFiles(t *testing.T) {
	dir := t.TempDir()
	var args []string
	for _, name := range []string{"k1", "g1"} {
		file := filepath.Join(dir, name)
		r, err := timeline.NewRecorder(timeline.Options{Process: name, File: file})
		if err != nil {
			t.Fatal(err)
		}
		r.Record(timeline.Event{Kind: timeline.ProcessStarted})
		r.Close()
		args = append(args, "--file", file)
	}
	page := filepath.Join(dir, "page.html")
	o := runCommand(t, newCluster(), append([]string{"timeline", "--html", page}, args...)...)
	text, err := os.ReadFile(page)
	if o.code != ExitOK || err != nil || !strings.Contains(string(text), "process k1") || !strings.Contains(string(text), "process g1") {
		t.Fatalf("%d %v\n%s%s", o.code, err, o.errOut, text)
	}
}

func TestKeysInit(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	args := []string{"keys", "init", dir, "--keeper", "k1=127.0.0.1", "--gate", "g1=127.0.0.1", "--operator", "ana"}
	if o := runCommand(t, newCluster(), args...); o.code != ExitOK || !strings.Contains(o.out, "3 certificates") {
		t.Fatalf("%d %s%s", o.code, o.out, o.errOut)
	}
	s, err := access.NewCertificateSource(access.SourceOptions{Files: access.Files{
		Cert: filepath.Join(dir, "keeper-k1.pem"), Key: filepath.Join(dir, "keeper-k1-key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}})
	if err != nil || s.Identity() != (access.Identity{Cluster: "sesame", Role: access.Keeper, Name: "k1"}) {
		t.Fatal(err)
	}
	if o := runCommand(t, newCluster(), args...); o.code != ExitRefused || !strings.Contains(o.errOut, "never overwritten") {
		t.Fatalf("%d %s", o.code, o.errOut)
	}
	if o := runCommand(t, newCluster(), "keys", "add", dir, "--gate", "g2=127.0.0.1"); o.code != ExitOK {
		t.Fatalf("%d %s", o.code, o.errOut)
	}
	added, err := access.NewCertificateSource(access.SourceOptions{Files: access.Files{
		Cert: filepath.Join(dir, "gate-g2.pem"), Key: filepath.Join(dir, "gate-g2-key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}})
	if err != nil || added.Identity() != (access.Identity{Cluster: "sesame", Role: access.Gate, Name: "g2"}) {
		t.Fatal(err)
	}
	if o := runCommand(t, newCluster(), "keys", "add", t.TempDir(), "--gate", "g2=127.0.0.1"); o.code != ExitRefused {
		t.Fatalf("%d %s", o.code, o.errOut)
	}
	for _, bad := range [][]string{{}, {"--keeper", "k1"}, {"--keeper", "K=127.0.0.1"}, {"--operator", "ana", "--cluster", "A B"}} {
		if o := runCommand(t, newCluster(), append([]string{"keys", "init", dir + "2"}, bad...)...); o.code != ExitUsage {
			t.Errorf("%v: exit %d", bad, o.code)
		}
	}
}

func TestKeysDigest(t *testing.T) {
	o := runCommand(t, newCluster(), "keys", "digest", writeFile(t, "open sesame\n"))
	if o.code != ExitOK || strings.TrimSpace(o.out) != access.Digest("open sesame") {
		t.Fatalf("%d %s", o.code, o.out)
	}
}
