package rig3

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Case is one case of the review.
type Case struct {
	Record         string // path of the record
	Cores, Entries int
	// Run plays the case, without the disruption unless trouble is set. It returns whether the rule was broken.
	Run func(f *Fleet, trouble bool) (broken bool, err error)
}

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// Main plays a case and exits with its status.
func Main(c Case) {
	os.Exit(c.play())
}

func (c Case) play() int {
	record, err := NewRecord(c.Record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer record.Close()
	fleet, err := NewFleet(record, c.Cores, c.Entries)
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		record.Printf("the case can't run: %v", err)
		return CannotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	go func() {
		broken, err := c.Run(fleet, trouble)
		done <- outcome{broken, err}
	}()
	select {
	case <-stop:
		record.Printf("stopped")
		return CannotRun
	case <-time.After(limit):
		record.Printf("the case takes too long")
		return CannotRun
	case o := <-done:
		switch {
		case o.err != nil:
			record.Printf("the case can't run: %v", o.err)
			fmt.Println("can't run:", o.err)
			return CannotRun
		case o.broken:
			record.Printf("the rule was broken")
			fmt.Println("broken")
			return Broken
		}
		record.Printf("the rule held")
		fmt.Println("held")
		return Held
	}
}
