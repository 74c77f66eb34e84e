package entry

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

func TestEntryHostWithoutCoordinatorsDeniesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, fleetSize{entries: 2, plain: 2})
		unknown := clientRequest{kind: "added"}
		if w := f.send(0, unknown); w.status != http.StatusNotFound {
			t.Errorf("an unknown route is answered %d", w.status)
		}
		f.network.Partition([]string{"e0"}, []string{"c1", "c2", "c3"})
		time.Sleep(4 * time.Second)
		if w := f.send(0, unknown); w.status != http.StatusServiceUnavailable || w.header.Get("Retry-After") == "" {
			t.Errorf("a route that may have been added is answered %d by an entry host without coordinators", w.status)
		}
		if w := f.send(1, unknown); w.status != http.StatusNotFound {
			t.Errorf("an unknown route is answered %d by an entry host with coordinators", w.status)
		}
		f.network.HealAll()
		time.Sleep(4 * time.Second)
		if w := f.send(0, unknown); w.status != http.StatusNotFound {
			t.Errorf("an unknown route is answered %d after the partition", w.status)
		}
	})
}
