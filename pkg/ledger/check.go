package ledger

import (
	"fmt"
	"maps"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// keyName names a once-only key.
type keyName struct{ organisation, key string }

// history is all that is known of one key.
type history struct {
	key        string
	entries    []Entry
	executions []Execution
}

// CheckOnce checks the once-only calls among the entries against the service's
// record. It returns every violation, sorted by key.
func CheckOnce(entries []Entry, executions []Execution) []Violation {
	all := make(map[keyName]*history)
	at := func(organisation, key string) *history {
		n := keyName{organisation, key}
		if all[n] == nil {
			all[n] = &history{key: key}
		}
		return all[n]
	}
	for _, e := range entries {
		if e.Key != "" {
			h := at(e.Organisation, e.Key)
			h.entries = append(h.entries, e)
		}
	}
	for _, x := range executions {
		h := at(x.Organisation, x.Key)
		h.executions = append(h.executions, x)
	}
	names := slices.SortedFunc(maps.Keys(all), func(a, b keyName) int {
		return slices.Compare([]string{a.organisation, a.key}, []string{b.organisation, b.key})
	})
	var found []Violation
	for _, n := range names {
		found = append(found, all[n].check()...)
	}
	return found
}

func (h *history) check() []Violation {
	var found []Violation
	add := func(r Rule, format string, args ...any) {
		found = append(found, Violation{Rule: r, Key: h.key, Detail: fmt.Sprintf(format, args...)})
	}
	if len(h.executions) > 1 {
		add(RuleOnce, "%d executions, by requests %s", len(h.executions), h.requests())
	}
	for _, x := range h.executions {
		e, ok := h.entry(x.Request)
		switch {
		case !ok:
			add(RuleRequested, "request %q", x.Request)
		case e.Content != x.Content:
			add(RuleOwnContent, "executed %q, request %s asked for %q", x.Content, e.Request, e.Content)
		}
	}
	answer := ""
	for _, e := range h.entries {
		h.checkEntry(e, add)
		if !e.Done() {
			continue
		}
		if answer != "" && e.Body != answer {
			add(RuleSameAnswer, "%q and %q", answer, e.Body)
		}
		answer = e.Body
	}
	if !h.ordered() {
		add(RuleOrder, "%d requests can't be put in an order", len(h.entries))
	}
	return found
}

func (h *history) checkEntry(e Entry, add func(Rule, string, ...any)) {
	if !e.Answered() {
		return
	}
	if !e.Outcome.Valid() {
		add(RuleHasOutcome, "request %s was answered %d with outcome %q", e.Request, e.Status, e.Outcome)
	}
	if _, ran := h.execution(e.Request); ran && e.Outcome == outcome.NotRun {
		add(RuleNotRunWasNotExecuted, "request %s ran", e.Request)
	}
	if e.Done() && !h.explains(e) {
		add(RuleDoneWasExecuted, "request %s was told %q", e.Request, e.Body)
	}
}

// explains tells whether an execution of the key gives the answer of an entry.
func (h *history) explains(e Entry) bool {
	for _, x := range h.executions {
		if x.Answer == e.Body && x.Content == e.Content {
			return true
		}
	}
	return false
}

func (h *history) entry(request string) (Entry, bool) {
	for _, e := range h.entries {
		if e.Request == request {
			return e, true
		}
	}
	return Entry{}, false
}

func (h *history) execution(request string) (Execution, bool) {
	for _, x := range h.executions {
		if x.Request == request {
			return x, true
		}
	}
	return Execution{}, false
}

func (h *history) requests() []string {
	var r []string
	for _, x := range h.executions {
		r = append(r, x.Request)
	}
	return r
}

// CheckSettled checks the last replies of keys after all faults are over: no
// key may still be in progress.
func CheckSettled(last []Entry) []Violation {
	var found []Violation
	for _, e := range last {
		if e.Reason == outcome.ReasonInProgress || !e.Answered() {
			found = append(found, Violation{Rule: RuleSettled, Key: e.Key, Detail: "request " + e.Request})
		}
	}
	return found
}
