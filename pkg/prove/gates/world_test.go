package gates

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

func TestRequestsThroughAnyGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(permit.Options{})
		defer w.close()
		for _, name := range []string{"g1", "g2", "g3"} {
			w.startGate(gateName(name), "a", proxy.Options{})
		}
		if err := w.publishGroup(w.startHost("h1", fastModel()), "assistant-1", "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for i := range 12 {
			q := request{organisation: "boia", prompt: "question " + string(rune('a'+i)), tokens: 20, streaming: i%2 == 0}
			r, err := w.ask(w.gates[i%3], q)
			if err != nil {
				t.Fatal(err)
			}
			if !r.complete {
				t.Fatalf("question %d: %+v", i, r)
			}
			t.Log(i, r.elapsed)
		}
	})
}
