package consensus

import (
	"testing"
	"testing/synctest"

	"github.com/rotisserie/eris"
)

// The process's loop kills it again when it sees its end. If that happened after the
// restart of the disk, swapDisk would change a crashed disk.
func TestSwapDiskChangesRunningDisk(t *testing.T) {
	run := scenario(options{}, func(w *world) error {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		p := w.followers(leader)[0]
		crashed := false
		p.swapDisk(func() {
			synctest.Wait() // the loop has handled the end
			crashed = p.disk.Crashed()
		})
		if crashed {
			return eris.New("the disk is crashed while swapDisk changes it")
		}
		return nil
	})
	if err := run(1); err != nil {
		t.Error(err)
	}
}
