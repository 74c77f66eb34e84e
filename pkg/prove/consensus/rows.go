package consensus

import (
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

const (
	area          = "consensus"
	neverSnapshot = 1 << 30 // entries
)

// Rows returns the fault matrix of the keepers' replicated state.
func Rows() []prove.Row {
	var rows []prove.Row
	rows = append(rows, killRows()...)
	rows = append(rows, diskRows()...)
	rows = append(rows, networkRows()...)
	rows = append(rows, replaceRows()...)
	return append(rows,
		row("any of these", "at any moment, three replicas", scenario(options{}, chaos), nil),
		row("any of these", "at any moment, five replicas", scenario(options{replicas: 5}, chaos), nil),
	)
}

func row(fault, step string, run, unguarded prove.Scenario) prove.Row {
	return prove.Row{
		Promise:   prove.AcceptedIsInForce,
		Area:      area,
		Fault:     fault,
		Step:      step,
		Run:       run,
		Unguarded: unguarded,
	}
}

// guardedAndUnguarded returns a row that runs a plan with the default configuration
// and with the protection switched off that the options name.
func guardedAndUnguarded(fault, step string, o options, p plan) prove.Row {
	guarded := o
	guarded.unsafe = replica.Unsafe{}
	return row(fault, step, scenario(guarded, p), scenario(o, p))
}

func killRows() []prove.Row {
	var rows []prove.Row
	for _, s := range killSteps() {
		rows = append(rows,
			row("leader killed", string(s), scenario(options{}, killLeader(s)), nil),
			row("follower killed", string(s), scenario(options{}, killFollower(s)), nil),
			guardedAndUnguarded("all replicas lose power", string(s), options{unsafe: withoutSync()}, losePower(s)),
		)
	}
	two := scenario(options{replicas: 5}, repeat(killLeaderAndFollower))
	return append(rows, row("leader and follower of five killed", string(afterWrite), two, nil))
}

func diskRows() []prove.Row {
	return []prove.Row{
		guardedAndUnguarded("disk lost", "while another replica is behind", options{unsafe: withoutIdentityCheck()}, loseDisk),
		guardedAndUnguarded("older folder", "while two of five are behind", options{replicas: 5, unsafe: withoutIdentityCheck()}, restoreOldDisk),
		guardedAndUnguarded("flipped byte", "in the last record", options{unsafe: withoutIdentityCheck()}, corruptLastRecord),
		row("flipped byte", "before other records", scenario(options{}, corruptEarlierRecord), nil),
		guardedAndUnguarded("syncs fail", "on all replicas, then power is lost", options{snapshotEvery: neverSnapshot, unsafe: ignoringFailedSyncs()}, failSyncs),
		row("disk full", "at the leader's write", scenario(options{}, fillLeaderDisk), nil),
	}
}

func networkRows() []prove.Row {
	five := options{replicas: 5}
	return []prove.Row{
		guardedAndUnguarded("partition", "leader cut off", options{unsafe: withoutReadRounds()}, partitionLeader(isolateLeader)),
		guardedAndUnguarded("partition", "leader hears nobody", options{unsafe: withoutReadRounds()}, partitionLeader(dropToLeader)),
		row("partition", "leader is heard by nobody", scenario(options{}, partitionLeader(dropFromLeader)), nil),
		row("partition", "one link of three cut", scenario(options{}, partitionLeader(cutOneLink)), nil),
		row("partition", "leader on the side of two of five", scenario(five, partitionLeader(splitLeaderSide)), nil),
		guardedAndUnguarded("replica cut off for long", "at its return", options{unsafe: withoutPreVote()}, rejoinAfterLongPartition),
		row("leader paused", "beyond an election", scenario(options{}, pauseLeader), nil),
		row("messages lost, repeated, reordered", "always", scenario(options{}, degradeNetwork), nil),
		row("messages lost, repeated, reordered", "leader killed after write", scenario(options{}, concurrently(degradeNetwork, killLeader(afterWrite))), nil),
		row("leadership transferred", "again and again", scenario(options{}, transferRepeatedly), nil),
	}
}

func replaceRows() []prove.Row {
	var rows []prove.Row
	for _, s := range killSteps() {
		p := replaceDuring(killLeader(s))
		rows = append(rows, row("replica replaced", "leader killed "+string(s), scenario(options{}, p), nil))
	}
	others := []struct {
		step string
		p    plan
	}{
		{"messages lost, repeated, reordered", degradeNetwork},
		{"leader cut off", partitionLeader(isolateLeader)},
		{"leader paused", pauseLeader},
		{"all replicas lose power", losePower(afterWrite)},
	}
	for _, o := range others {
		rows = append(rows, row("replica replaced", o.step, scenario(options{replicas: 5}, replaceDuring(o.p)), nil))
	}
	return rows
}

// concurrently runs two plans at the same time.
func concurrently(a, b plan) plan {
	return func(w *world) error {
		faultErr := make(chan error, 1)
		go func() { faultErr <- a(w) }()
		err := b(w)
		if other := <-faultErr; err == nil {
			err = other
		}
		return err
	}
}
