package consensus

import (
	"errors"
	"fmt"
	"strings"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/wal"
)

// loseDisk takes the leader down while one follower lags, and wipes the disk of the
// other. These two must not elect a leader that lacks the old leader's commits.
func loseDisk(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	fs := w.followers(leader)
	forgetful, behind := fs[0], fs[1]
	w.isolate(behind)
	time.Sleep(recoveryPause)
	leader.setHeld(true)
	leader.kill()
	forgetful.swapDisk(func() { forgetful.disk.Restore(disk.Image{}) })
	w.net.Heal()
	time.Sleep(partitionTime)
	leader.setHeld(false)
	time.Sleep(recoveryPause)
	return w.replace(forgetful, 4)
}

// restoreOldDisk lets two of five replicas lag, restores an older image of a third
// one's disk, and takes the leader down. The fourth follower can answer only hellos,
// with which it can object to the restored replica. The other three must not elect a
// leader that lacks the commits.
func restoreOldDisk(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	fs := w.followers(leader)
	forgetful, witness := fs[0], fs[1]
	image := forgetful.disk.Image()
	w.isolate(fs[2])
	w.isolate(fs[3])
	time.Sleep(recoveryPause)
	leader.setHeld(true)
	leader.kill()
	w.net.SetFilter(passOnlyHellos(witness.id))
	forgetful.swapDisk(func() { forgetful.disk.Restore(image) })
	w.net.Heal()
	time.Sleep(partitionTime)
	w.net.SetFilter(nil)
	leader.setHeld(false)
	time.Sleep(recoveryPause)
	return w.replace(forgetful, 6)
}

// passOnlyHellos returns a filter that drops all messages to and from a replica except
// hellos and their replies.
func passOnlyHellos(id raft.ID) func(raft.Message) bool {
	return func(m raft.Message) bool {
		if m.From != id && m.To != id {
			return true
		}
		return m.Type == raft.MessageHello || m.Type == raft.MessageHelloReply
	}
}

// corruptLastRecord flips a bit in the last record of a follower's log, which then
// looks like a torn tail. The replica must not take part without the record that it
// acknowledged.
func corruptLastRecord(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	p := w.followers(leader)[0]
	w.clientsPaused.Store(true)
	time.Sleep(recoveryPause)
	p.swapDisk(func() {
		name := p.lastSegment()
		data, _ := p.disk.ReadFile(name)
		p.disk.FlipBit(name, len(data)-1)
	})
	w.clientsPaused.Store(false)
	var refused *replica.RefusedError
	if !errors.As(p.err(), &refused) || refused.Reason != raft.RefusalRolledBack {
		return eris.Errorf("replica %d was not refused although its last record is lost: %v", p.id, p.err())
	}
	return w.replace(p, 4)
}

// corruptEarlierRecord flips a bit in a record that others follow. The start must fail
// with an error that names file and offset.
func corruptEarlierRecord(w *world) error {
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
		return eris.Errorf("replica %d did not report its corrupt log: %v", p.id, p.err())
	}
	if want := fmt.Sprintf("%s: offset", name); !strings.Contains(damage.Error(), want) {
		return eris.Errorf("error %q does not contain %q", damage, want)
	}
	return w.replace(p, 4)
}

// swapDisk kills a process, changes its disk and allows it to restart.
func (p *process) swapDisk(change func()) {
	p.setHeld(true)
	p.kill()
	synctest.Wait() // run also kills the ended process; later, that would crash the restarted disk
	p.disk.Restart()
	change()
	p.setHeld(false)
	time.Sleep(recoveryPause)
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
