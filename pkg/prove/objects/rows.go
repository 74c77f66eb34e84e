package objects

import "github.com/sesamemux/sesamemux/pkg/prove"

// area is the area of the package's rows.
const area = "objects"

// Rows returns the rows about the object set.
func Rows() []prove.Row {
	var rows []prove.Row
	for _, f := range faults {
		for _, s := range steps {
			rows = append(rows, row("set with "+f.name, s.name, invalidSet(f, s, options{}), invalidSet(f, s, options{skipValidation: true})))
		}
	}
	return append(rows,
		row("operators race from one base", "in any order", race(options{}), race(options{ignoreBase: true})),
		row("reply lost, change resent", "after later changes and restarts", lostReply(options{}), lostReply(options{newIDs: true})),
		row("change ID reused for other content", "over a set in force", reusedID, nil),
		row("rollback", "after many changes", rollback, nil),
	)
}

func row(fault, step string, run, unguarded prove.Scenario) prove.Row {
	return prove.Row{Promise: prove.AcceptedIsInForce, Area: area, Fault: fault, Step: step, Run: run, Unguarded: unguarded}
}
