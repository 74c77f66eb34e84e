// Command case shows what becomes of an order that a frozen coordinator has not read when it wakes.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/sesamemux/sesamemux/review/rig"
)

// freeze is the longest freeze of a core machine on the days of the site.
const freeze = 7700 * time.Millisecond

func main() { os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0")) }

func run(recordPath string, trouble bool) int {
	record, err := rig.NewRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	broken, err := play(record, trouble)
	switch {
	case err != nil:
		record.Say("the case could not run: %v", err)
		return 2
	case broken:
		record.Say("EVAC is broken")
		return 1
	}
	record.Say("EVAC held")
	return 0
}

func play(record *rig.Record, trouble bool) (broken bool, err error) {
	d, err := rig.Start(record, 3, 3)
	if err != nil {
		return false, err
	}
	defer d.Stop()
	runners := []*rig.Runner{}
	for i, zone := range rig.Zones {
		r := &rig.Runner{ID: fmt.Sprintf("i-%d", i), Service: "oficina", Zone: zone, Work: 10 * time.Millisecond, Slots: 6}
		if err := d.StartRunner(r); err != nil {
			return false, err
		}
		defer r.Stop()
		runners = append(runners, r)
	}
	operator := &rig.Operator{Deployment: d, Record: record}
	time.Sleep(3 * time.Second)
	for i := range 5 { // the first manifest is sent until it is accepted
		if _, err = operator.Send("PUT", "/api/config", rig.Manifest(1, "idempotent", 1000, rig.Oficina), d.Cores[i%3]); err == nil {
			break
		}
	}
	if err != nil {
		return false, err
	}
	if err := d.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	requesters := &rig.Requesters{Deployment: d, Record: record, Method: "GET", Path: "/lookup/1", LimitMS: 1000}
	requesters.Start(60)
	defer requesters.Stop()
	time.Sleep(3 * time.Second)

	leader := d.Leader()
	if leader == nil {
		return false, fmt.Errorf("no coordinator leads")
	}
	var frozen, other *rig.Process
	for _, p := range d.Cores {
		switch {
		case p == leader:
		case frozen == nil:
			frozen = p
		default:
			other = p
		}
	}
	const zone = "/api/evacuations/sul-a"
	if _, err := operator.Send("POST", zone, "", other); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	frozenAt := time.Now()
	if trouble {
		d.Signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(300 * time.Millisecond)
	if _, err := operator.Send("DELETE", zone, "", frozen); err != nil { // it meets the frozen node first
		return false, err
	}
	acknowledged, err := operator.Send("POST", zone, "", other)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(frozenAt.Add(freeze)))
	if trouble {
		d.Signal(frozen, syscall.SIGCONT)
	}
	woken := time.Now()
	from := woken.Add(rig.Contact) // from then on the core is stable and all machines are in touch
	if late := acknowledged.Add(rig.Evacuate); late.After(from) {
		from = late
	}
	to := from.Add(6 * time.Second)
	time.Sleep(time.Until(to))
	inZone := len(runners[0].Runs(from, to))
	outside := len(runners[1].Runs(from, to)) + len(runners[2].Runs(from, to))
	record.Say("evacuation acknowledged %.1f s before the judged span of 6 s; in it %d requests reached the runner of sul-a, %d others; %d served in all",
		from.Sub(acknowledged).Seconds(), inZone, outside, requesters.Served())
	if outside == 0 && inZone == 0 {
		return false, fmt.Errorf("no requests ran")
	}
	return inZone > 0, nil
}
