// Command stand2 plays the script cases of the second review: it starts the programs of the deploy file as
// separate processes with stand-ins for clients, runners and the operator, and judges what these have seen.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case, without its disruption if trouble is false. It reports whether the rule was broken.
type scenario func(d *deployment, r *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{"truncated": truncated, "evacuation": evacuation, "poison": poison, "joined": joined, "turned": turned}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		fmt.Fprintln(os.Stderr, runRunner(os.Args[2:])) // it only returns if it can't go on
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 SCENARIO RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, recordPath string) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(3, 3)
	if err != nil {
		r.add("the case could not run: %v", err)
		return exitNotRun
	}
	defer d.stop()
	if err := d.start(); err != nil {
		r.add("the case could not run: %v", err)
		return exitNotRun
	}
	broken, err := s(d, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	r.add("the rule held")
	return exitHeld
}
