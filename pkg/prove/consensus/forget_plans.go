package consensus

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/wal"
)

// loseDisk: one replica is behind, the leader dies, and the other follower
// loses its disk. The two must not elect a leader without the leader's commits.
func loseDisk(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	fs := w.followers(leader)
	forgetful, behind := fs[0], fs[1]
	w.isolate(behind)
	time.Sleep(strikePause)
	leader.hold(true)
	leader.kill()
	forgetful.swapDisk(func() { forgetful.disk.Restore(disk.Image{}) })
	w.net.Heal()
	time.Sleep(partitionTime)
	leader.hold(false)
	time.Sleep(strikePause)
	return w.replace(forgetful, 4)
}

// rollBack: in a group of five two are behind, a third gets an older image of
// its folder, and the leader dies. The fourth follower can only object. The
// three must not elect a leader without the commits.
func rollBack(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	fs := w.followers(leader)
	forgetful, witness := fs[0], fs[1]
	image := forgetful.disk.Image()
	w.isolate(fs[2])
	w.isolate(fs[3])
	time.Sleep(strikePause)
	leader.hold(true)
	leader.kill()
	w.net.SetFilter(onlyHellos(witness.id))
	forgetful.swapDisk(func() { forgetful.disk.Restore(image) })
	w.net.Heal()
	time.Sleep(partitionTime)
	w.net.SetFilter(nil)
	leader.hold(false)
	time.Sleep(strikePause)
	return w.replace(forgetful, 6)
}

// onlyHellos lets nothing but hellos and their answers pass to and from a
// replica.
func onlyHellos(id raft.ID) func(raft.Message) bool {
	return func(m raft.Message) bool {
		if m.From != id && m.To != id {
			return true
		}
		return m.Type == raft.MessageHello || m.Type == raft.MessageHelloReply
	}
}

// flipLast damages the last record of a follower's log, which looks like a
// torn tail. The replica must not take part without what it acknowledged.
func flipLast(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	p := w.followers(leader)[0]
	w.quiet.Store(true)
	time.Sleep(strikePause)
	p.swapDisk(func() {
		name := p.lastSegment()
		data, _ := p.disk.ReadFile(name)
		p.disk.FlipBit(name, len(data)-1)
	})
	w.quiet.Store(false)
	var refused *replica.RefusedError
	if !errors.As(p.err(), &refused) || refused.Reason != raft.RefusalRolledBack {
		return eris.Errorf("replica %d takes part without its last record: %v", p.id, p.err())
	}
	return w.replace(p, 4)
}

// flipMiddle damages a record before others. The start must name file and
// offset.
func flipMiddle(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	p := w.followers(leader)[0]
	name := ""
	p.swapDisk(func() {
		name = p.lastSegment()
		p.disk.FlipBit(name, 40)
	})
	var damage *wal.CorruptionError
	if !errors.As(p.err(), &damage) {
		return eris.Errorf("replica %d starts on a damaged log: %v", p.id, p.err())
	}
	if want := fmt.Sprintf("%s: offset", name); !strings.Contains(damage.Error(), want) {
		return eris.Errorf("the error %q does not name %q", damage, want)
	}
	return w.replace(p, 4)
}

// swapDisk kills a process, changes its disk and lets it start again.
func (p *process) swapDisk(change func()) {
	p.hold(true)
	p.kill()
	p.disk.Restart()
	change()
	p.hold(false)
	time.Sleep(strikePause)
}

func (p *process) lastSegment() string {
	names, _ := p.disk.List("data")
	last := ""
	for _, name := range names {
		if strings.HasSuffix(name, ".log") {
			last = name
		}
	}
	return "data/" + last
}
