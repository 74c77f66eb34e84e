package ledger

import "fmt"

// Rule names a rule that a history must obey.
type Rule string

// The rules.
const (
	RuleOnce                 Rule = "a key is executed at most once"
	RuleDoneWasExecuted      Rule = "what is said to be done was done"
	RuleNotRunWasNotExecuted Rule = "what is said not to have run did not run"
	RuleSameAnswer           Rule = "all answers for a key are the same"
	RuleOwnContent           Rule = "a key runs the content that it was first sent with"
	RuleSettled              Rule = "no key stays in progress"
	RuleOrder                Rule = "answers agree with the order of events"
	RuleOwnAnswer            Rule = "an answer is the whole answer to its own request"
	RuleHasOutcome           Rule = "every reply carries an outcome"
	RuleRequested            Rule = "every execution was asked for"
)

// Violation is a broken rule with its evidence.
type Violation struct {
	Rule   Rule
	Key    string
	Detail string
}

func (v Violation) Error() string {
	return fmt.Sprintf("%s: key %q: %s", v.Rule, v.Key, v.Detail)
}
