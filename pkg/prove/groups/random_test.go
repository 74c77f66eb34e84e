package groups

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/view"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "0", "20")
	setDefault("rapid.checks", "100", "50")
	os.Exit(m.Run())
}

// setDefault changes the default of a flag.
func setDefault(name, usual, value string) {
	if flag.Lookup(name).Value.String() != usual {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// TestRandomFaults injects faults in random order with random pauses.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWorld(rapid.Uint64().Draw(t, "seed"), group.Unsafe{})
		play := func(longest int) {
			d := rapid.IntRange(1, longest).Draw(t, "tenths of a second")
			if err := w.Run(time.Duration(d) * tick); err != nil {
				t.Fatal(err)
			}
		}
		play(400)
		t.Repeat(map[string]func(*rapid.T){
			"engine down": func(t *rapid.T) {
				e := rapid.SampledFrom(w.engines).Draw(t, "engine")
				d := rapid.IntRange(1, 300).Draw(t, "tenths of a second")
				w.down(e.host.Name, time.Duration(d)*tick, true, rapid.Bool().Draw(t, "keeps"))
				play(30)
			},
			"role dropped": func(t *rapid.T) {
				e := rapid.SampledFrom(w.engines).Draw(t, "engine")
				w.dropRole(e)
				play(30)
			},
			"domain drained": func(t *rapid.T) {
				zone := rapid.SampledFrom([]string{"zone-0", "zone-1"}).Draw(t, "zone")
				w.drain(view.DrainFailureDomain, zone, rapid.Bool().Draw(t, "out"))
				play(50)
			},
			"upstream drained": func(t *rapid.T) {
				e := rapid.SampledFrom(w.engines).Draw(t, "engine")
				w.drain(view.DrainUpstream, string(e.host.Name), rapid.Bool().Draw(t, "out"))
				play(50)
			},
			"member slow": func(t *rapid.T) {
				e := rapid.SampledFrom(w.engines).Draw(t, "engine")
				slow := rapid.Bool().Draw(t, "slow")
				w.step(group.SlownessReported{Host: e.host.Name, Incarnation: e.host.Incarnation, Slow: slow})
				play(50)
			},
			"objects published": func(t *rapid.T) {
				set := objects(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"))
				set.ModelGroups[0].Copies = rapid.IntRange(1, 4).Draw(t, "copies")
				set.ModelGroups[0].Minimum = rapid.IntRange(0, set.ModelGroups[0].Copies).Draw(t, "minimum")
				w.objects = set
				w.step(group.ObjectsPublished{Set: set})
				play(100)
			},
			"gate cut": func(t *rapid.T) {
				g := rapid.SampledFrom(w.gates).Draw(t, "gate")
				d := rapid.IntRange(1, 60).Draw(t, "tenths of a second")
				g.isolatedUntil = w.now + time.Duration(d)*tick
				play(30)
			},
			"leaders deposed": func(t *rapid.T) {
				w.deposeLeaders = rapid.Bool().Draw(t, "deposes")
				play(50)
			},
			"quiet time": func(*rapid.T) { play(200) },
			"":           func(t *rapid.T) { checkNoViolation(t, w) },
		})
		checkRecovery(t, w)
	})
}

func checkNoViolation(t *rapid.T, w *World) {
	if w.err != nil {
		t.Fatal(w.err)
	}
}

// checkRecovery ends all faults and fails unless all groups then take work.
func checkRecovery(t *rapid.T, w *World) {
	w.deposeLeaders = false
	w.restartAll()
	for _, e := range w.engines {
		w.drain(view.DrainUpstream, string(e.host.Name), false)
		w.step(group.SlownessReported{Host: e.host.Name, Incarnation: e.host.Incarnation})
	}
	w.drain(view.DrainFailureDomain, "zone-0", false)
	w.drain(view.DrainFailureDomain, "zone-1", false)
	w.objects = objects("v1")
	w.step(group.ObjectsPublished{Set: w.objects})
	if !w.RunUntil(20*time.Minute, w.allServing) {
		checkNoViolation(t, w)
		t.Fatal(w.recoveryError())
	}
}
