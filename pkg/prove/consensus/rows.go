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

// both plays a plan as the product ships and with a protection off.
func both(fault, step string, o options, p plan) prove.Row {
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
			both("all replicas lose power", string(s), options{unsafe: withoutSync()}, losePower(s)),
		)
	}
	two := scenario(options{replicas: 5}, repeat(killTwo))
	return append(rows, row("leader and follower of five killed", string(afterWrite), two, nil))
}

func diskRows() []prove.Row {
	return []prove.Row{
		both("disk lost", "while another replica is behind", options{unsafe: withoutIdentity()}, loseDisk),
		both("older folder", "while two of five are behind", options{replicas: 5, unsafe: withoutIdentity()}, rollBack),
		both("flipped byte", "in the last record", options{unsafe: withoutIdentity()}, flipLast),
		row("flipped byte", "before other records", scenario(options{}, flipMiddle), nil),
		both("syncs fail", "on all replicas, then power is lost", options{snapshotEvery: neverSnapshot, unsafe: ignoringFailedSyncs()}, failSyncs),
		row("disk full", "at the leader's write", scenario(options{}, fillLeader), nil),
	}
}

func networkRows() []prove.Row {
	five := options{replicas: 5}
	return []prove.Row{
		both("partition", "leader cut off", options{unsafe: withoutRounds()}, partitionLeader(cutOff)),
		both("partition", "leader hears nobody", options{unsafe: withoutRounds()}, partitionLeader(deafen)),
		row("partition", "leader is heard by nobody", scenario(options{}, partitionLeader(mute)), nil),
		row("partition", "one link of three cut", scenario(options{}, partitionLeader(cutOneLink)), nil),
		row("partition", "leader on the side of two of five", scenario(five, partitionLeader(splitLeaderSide)), nil),
		both("replica cut off for long", "at its return", options{unsafe: withoutPreVote()}, returnAfterLong),
		row("leader paused", "beyond an election", scenario(options{}, pauseLeader), nil),
		row("messages lost, repeated, reordered", "always", scenario(options{}, disturb), nil),
		row("messages lost, repeated, reordered", "leader killed after write", scenario(options{}, together(disturb, killLeader(afterWrite))), nil),
		row("leadership transferred", "again and again", scenario(options{}, transferAround), nil),
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
		{"messages lost, repeated, reordered", disturb},
		{"leader cut off", partitionLeader(cutOff)},
		{"leader paused", pauseLeader},
		{"all replicas lose power", losePower(afterWrite)},
	}
	for _, o := range others {
		rows = append(rows, row("replica replaced", o.step, scenario(options{replicas: 5}, replaceDuring(o.p)), nil))
	}
	return rows
}

// together strikes with two plans at once.
func together(a, b plan) plan {
	return func(w *world) error {
		struck := make(chan error, 1)
		go func() { struck <- a(w) }()
		err := b(w)
		if other := <-struck; err == nil {
			err = other
		}
		return err
	}
}
