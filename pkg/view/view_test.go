package view

import (
	"encoding/json"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestDeltasReachTheSameView publishes random changes to a reader that installs
// deltas at random times; it must reach the published view.
func TestDeltasReachTheSameView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published := New()
		reader := New()
		var held []HostName // host names of the reader's view before the next install
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
			if reader.Revision != next.Revision {
				checkUntouched(t, reader, held)
			}
			reader = next
			held = next.Hosts.Keys()
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

func TestInstallRefusesLowerRevisions(t *testing.T) {
	v := New()
	v.Revision = 5
	if _, err := v.Install(&Delta{To: 4}); err == nil {
		t.Fatal("a whole view at revision 4 was installed over revision 5")
	}
	if _, err := v.Install(&Delta{From: 3, To: 7}); err == nil {
		t.Fatal("a delta from revision 3 was installed over revision 5")
	}
}

// checkUntouched fails if installing a delta changed the previous view.
func checkUntouched(t *rapid.T, before *View, held []HostName) {
	if !slices.Equal(before.Hosts.Keys(), held) {
		t.Fatalf("the previous view holds %v after the install, %v before", before.Hosts.Keys(), held)
	}
}

func TestDeltaIsEncodedFieldByField(t *testing.T) {
	v := New()
	v.Revision = 3
	v.Hosts.Put("h1", Host{Name: "h1", Incarnation: 7}, 3)
	for range 2 {
		data, err := json.Marshal(v.Since(0))
		if err != nil {
			t.Fatal(err)
		}
		var d Delta
		if err := json.Unmarshal(data, &d); err != nil {
			t.Fatal(err)
		}
		got, err := New().Install(&d)
		if err != nil {
			t.Fatal(err)
		}
		if h, _ := got.Hosts.Get("h1"); h.Incarnation != 7 || got.Revision != 3 {
			t.Fatalf("decoded %+v at revision %d", h, got.Revision)
		}
	}
}
