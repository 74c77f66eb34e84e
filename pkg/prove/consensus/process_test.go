package consensus

import (
	"testing"
	"testing/synctest"

	"github.com/rotisserie/eris"
)

// The process's own loop also kills it when it sees its end. If that happens
// after the restart of the disk, the change finds a crashed disk.
func TestSwapDiskChangesARunningDisk(t *testing.T) {
	run := scenario(options{}, func(w *world) error {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		p := w.followers(leader)[0]
		crashed := false
		p.swapDisk(func() {
			synctest.Wait() // the loop has seen the end
			crashed = p.disk.Crashed()
		})
		if crashed {
			return eris.New("the disk is crashed while it is changed")
		}
		return nil
	})
	if err := run(1); err != nil {
		t.Error(err)
	}
}
