package view

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDeltasReachTheSameView publishes random changes and lets one reader
// follow by deltas from random revisions; it must hold what was published.
func TestDeltasReachTheSameView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published := New()
		reader := New()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			published.Revision++
			name := HostName(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "host"))
			if rapid.Bool().Draw(t, "put") {
				published.Hosts.Put(name, Host{Name: name, Incarnation: Incarnation(published.Revision)}, published.Revision)
			} else {
				published.Hosts.Delete(name, published.Revision)
			}
			if !rapid.Bool().Draw(t, "sync") {
				continue
			}
			next, err := reader.Install(published.Since(reader.Revision))
			if err != nil {
				t.Fatal(err)
			}
			reader = next
			checkSameHosts(t, published, reader)
		}
	})
}

func checkSameHosts(t *rapid.T, want, got *View) {
	if want.Hosts.Len() != got.Hosts.Len() {
		t.Fatalf("reader has %d hosts, want %d", got.Hosts.Len(), want.Hosts.Len())
	}
	for _, k := range want.Hosts.Keys() {
		w, _ := want.Hosts.Get(k)
		g, ok := got.Hosts.Get(k)
		if !ok || w != g {
			t.Fatalf("host %s is %+v, want %+v", k, g, w)
		}
	}
}

func TestInstallRefusesToStepBack(t *testing.T) {
	v := New()
	v.Revision = 5
	if _, err := v.Install(&Delta{To: 4}); err == nil {
		t.Fatal("a whole view of revision 4 was installed over revision 5")
	}
	if _, err := v.Install(&Delta{From: 3, To: 7}); err == nil {
		t.Fatal("a delta from revision 3 was installed over revision 5")
	}
}
