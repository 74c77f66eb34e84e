package coordinator

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/disk"
)

// stallableDisk is the operating system's file system, whose syncs can be made to wait.
type stallableDisk struct {
	disk.OS
	stalled  atomic.Pointer[chan struct{}] // nil: it answers
	full     atomic.Int32                  // fullness
	writes   atomic.Int32                  // while it is almost full
	syncTime time.Duration                 // that each sync takes
}

// fullness is what a disk refuses.
type fullness int32

const (
	hasRoom      fullness = iota
	refusesBytes          // writes; files can be made, renamed and shortened
	refusesAll            // whatever needs room; files can only be removed
	almostFull            // some writes, as another writer of the disk leaves room in small pieces
)

// almostFullPeriod is the number of writes of which an almost full disk refuses one.
const almostFullPeriod = 3

// stall makes all syncs wait for recover.
func (d *stallableDisk) stall() {
	answers := make(chan struct{})
	d.stalled.Store(&answers)
}

func (d *stallableDisk) recover() {
	if answers := d.stalled.Swap(nil); answers != nil {
		close(*answers)
	}
}

func (d *stallableDisk) await() {
	time.Sleep(d.syncTime)
	if answers := d.stalled.Load(); answers != nil {
		<-*answers
	}
}

func (d *stallableDisk) Create(name string) (disk.File, error) {
	if d.refusesFiles() {
		return nil, syscall.ENOSPC
	}
	f, err := d.OS.Create(name)
	return stallableFile{f, d}, err
}

func (d *stallableDisk) Append(name string) (disk.File, error) {
	f, err := d.OS.Append(name)
	return stallableFile{f, d}, err
}

func (d *stallableDisk) SyncDir(dir string) error {
	d.await()
	return d.OS.SyncDir(dir)
}

func (d *stallableDisk) MkdirAll(dir string) error {
	if _, err := os.Stat(dir); err != nil && d.refusesFiles() {
		return syscall.ENOSPC
	}
	return d.OS.MkdirAll(dir)
}

func (d *stallableDisk) Truncate(name string, size int64) error {
	if d.refusesFiles() {
		return syscall.ENOSPC
	}
	return d.OS.Truncate(name, size)
}

func (d *stallableDisk) Rename(from, to string) error {
	if d.refusesFiles() {
		return syscall.ENOSPC
	}
	return d.OS.Rename(from, to)
}

func (d *stallableDisk) refusesFiles() bool { return fullness(d.full.Load()) == refusesAll }

type stallableFile struct {
	disk.File
	disk *stallableDisk
}

// Write keeps half of the bytes if the disk is full.
func (f stallableFile) Write(b []byte) (int, error) {
	switch fullness(f.disk.full.Load()) {
	case hasRoom:
		return f.File.Write(b)
	case almostFull:
		if f.disk.writes.Add(1)%almostFullPeriod != 0 {
			return f.File.Write(b)
		}
	}
	n, err := f.File.Write(b[:len(b)/2])
	return n, errors.Join(err, syscall.ENOSPC)
}

func (f stallableFile) Sync() error {
	f.disk.await()
	return f.File.Sync()
}

// inForceLimit is the time after an acknowledgement from which no entry host may get an earlier
// document.
const inForceLimit = 2 * time.Second

// expectNothingOlder checks for a while that a coordinator gives entry hosts no document below a
// version.
func expectNothingOlder(t *testing.T, server *process, version int64) {
	t.Helper()
	e := newEntryHost(server, "late")
	for range 20 {
		if err := e.sync(); err == nil && e.result.DocumentVersion < version {
			t.Errorf("%s answers an entry host with version %d, %v after version %d was acknowledged", server.cfg.Name, e.result.DocumentVersion, inForceLimit, version)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// eachStalledCoordinator plays once with the coordinator whose disk will stall following, and once with it
// leading.
func eachStalledCoordinator(t *testing.T, play func(t *testing.T, c *cluster, p *process)) {
	for name, pick := range map[string]func(c *cluster) *process{
		"it follows": func(c *cluster) *process { return c.follower() },
		"it led":     func(c *cluster) *process { return c.running[c.leader()] },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSettledCluster(t)
				play(t, c, pick(c))
			})
		})
	}
}

func TestCoordinatorWithAStalledDiskGivesNoEarlierDocument(t *testing.T) {
	eachStalledCoordinator(t, func(t *testing.T, c *cluster, p *process) {
		e := newEntryHost(p, "e1")
		e.installs.Store(true)
		go e.run()
		defer close(e.stop)
		time.Sleep(time.Second)
		c.disks[p.cfg.Name].stall()
		began := time.Now()
		c.put(c.other(p), "v4")
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("the change was acknowledged after %v", took)
		}
		time.Sleep(inForceLimit)
		expectNothingOlder(t, p, 4)
		c.disks[p.cfg.Name].recover()
		time.Sleep(3 * time.Second)
		again := newEntryHost(p, "again")
		if err := again.sync(); err != nil || again.result.DocumentVersion != 4 {
			t.Errorf("after the stall: version %d, %v", again.result.DocumentVersion, err)
		}
	})
}

func TestCoordinatorWithAStalledDiskPassesChangesAndReadsOn(t *testing.T) {
	eachStalledCoordinator(t, func(t *testing.T, c *cluster, p *process) {
		c.disks[p.cfg.Name].stall()
		c.put(c.other(p), "v4")
		time.Sleep(3 * time.Second)
		if err := p.PutDocument(t.Context(), []byte("v5")); err != nil {
			t.Errorf("a change is not acknowledged: %v", err)
		}
		d, err := p.ReadDocument(t.Context())
		if err != nil || d.Version != 5 {
			t.Errorf("read %+v, %v; want version 5", d, err)
		}
	})
}

// other returns the name of a running coordinator that is not the given one.
func (c *cluster) other(p *process) string {
	for _, name := range []string{"a", "b", "c"} {
		if c.running[name] != nil && c.running[name] != p {
			return name
		}
	}
	c.t.Fatal("there is no other coordinator")
	return ""
}

func TestFormerLeaderThatWasReferredToItselfReachesTheNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		p := c.running[c.leader()]
		var result control.FleetReadResult
		if err := p.caller.CallOnce(t.Context(), control.MethodFleetRead, struct{}{}, &result); !isNotLeader(err) {
			t.Fatalf("a follower answers %v", err)
		}
		c.disks[p.cfg.Name].stall()
		c.put(c.other(p), "v4")
		time.Sleep(3 * time.Second)
		if err := p.PutDocument(t.Context(), []byte("v5")); err != nil {
			t.Errorf("a change is not acknowledged: %v", err)
		}
	})
}
