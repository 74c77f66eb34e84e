package ledger

import (
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

func at(n int) time.Time { return time.Unix(int64(n), 0) }

func TestCheckOnce(t *testing.T) {
	run := func(serial int, request string) Execution {
		return Execution{Serial: serial, Request: request, Organisation: "o", Key: "k", Content: "c", Answer: "done " + request}
	}
	entry := func(request string, sent, returned int, o outcome.Outcome, body string) Entry {
		e := Entry{Request: request, Organisation: "o", Key: "k", Content: "c", Sent: at(sent), Outcome: o, Body: body}
		if o != "" {
			e.Returned = at(returned)
			e.Status = 200
		}
		if o == outcome.NotRun {
			e.Status = 503
			e.Reason = outcome.ReasonUpstreamFailed
		}
		return e
	}
	for _, c := range []struct {
		name       string
		entries    []Entry
		executions []Execution
		want       []Rule
	}{
		{"one run and a resend", []Entry{
			entry("a", 1, 2, outcome.Ran, "done a"),
			entry("b", 3, 4, outcome.Ran, "done a"),
		}, []Execution{run(1, "a")}, nil},
		{"lost reply, then the record", []Entry{
			entry("a", 1, 0, "", ""),
			entry("b", 3, 4, outcome.Ran, "done a"),
		}, []Execution{run(1, "a")}, nil},
		{"run twice", []Entry{
			entry("a", 1, 2, outcome.Unknown, ""),
			entry("b", 3, 4, outcome.Ran, "done b"),
		}, []Execution{run(1, "a"), run(2, "b")}, []Rule{RuleOnce, RuleOrder}},
		{"false done", []Entry{entry("a", 1, 2, outcome.Ran, "done a")}, nil, []Rule{RuleDoneWasExecuted}},
		{"false not-run", []Entry{entry("a", 1, 2, outcome.NotRun, "")}, []Execution{run(1, "a")}, []Rule{RuleNotRunWasNotExecuted}},
		{"not-run after done", []Entry{
			entry("a", 1, 2, outcome.Ran, "done a"),
			entry("b", 3, 4, outcome.NotRun, ""),
		}, []Execution{run(1, "a")}, []Rule{RuleOrder}},
		{"not-run before done", []Entry{
			entry("b", 1, 2, outcome.NotRun, ""),
			entry("a", 3, 4, outcome.Ran, "done a"),
		}, []Execution{run(1, "a")}, nil},
		{"no outcome", []Entry{entry("a", 1, 2, "maybe", "")}, nil, []Rule{RuleHasOutcome}},
		{"execution from nowhere", nil, []Execution{run(1, "a")}, []Rule{RuleRequested}},
	} {
		var got []Rule
		for _, v := range CheckOnce(c.entries, c.executions) {
			got = append(got, v.Rule)
		}
		if len(got) != len(c.want) {
			t.Errorf("%s: broken rules %q, want %q", c.name, got, c.want)
			continue
		}
		for i := range got {
			if got[i] != c.want[i] {
				t.Errorf("%s: broken rules %q, want %q", c.name, got, c.want)
			}
		}
	}
}
