package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// A follower that does not hold the newest document yet, or can't be reached, is
// passed over.
func TestDocumentComesFromAnyCoordinatorThatHoldsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, map[string]answerFunc{})
		b.gate.cfg.Decode = func(raw []byte) (*catalog.Set, error) {
			set := testSet()
			set.Version = int64(len(raw))
			return set, nil
		}
		asked := map[string]int{}
		for name, raw := range map[string]string{"behind": "", "holds": "12345"} {
			server := rpc.NewServer()
			rpc.Handle(server, string(control.MethodFleetDocument), func(_ context.Context, req control.FleetDocumentRequest) (control.FleetReadResult, error) {
				asked[name]++
				if int64(len(raw)) < req.MinVersion {
					return control.FleetReadResult{}, nil
				}
				d, err := durable.Pack(int64(len(raw)), []byte(raw))
				return control.FleetReadResult{Document: d}, err
			})
			l := b.network.Listen(name, name+":1")
			go func() { _ = server.Serve(l) }()
			t.Cleanup(func() { _ = l.Close(); server.Close() })
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { b.gate.documents.run(ctx, b.gate); close(ended) }()
		frozen := b.network.Listen("frozen", "frozen:1") // takes connections and answers nothing
		t.Cleanup(func() { _ = frozen.Close() })
		b.gate.documents.wanted(5, []string{"behind:1", "nobody:1", "frozen:1", "holds:1"})
		time.Sleep(4 * fetchNext)
		if v := b.gate.index.Load().Set.Version; v != 5 {
			t.Errorf("version %d is in force, want 5", v)
		}
		before := asked["behind"] + asked["holds"]
		b.gate.documents.wanted(5, []string{"behind:1", "holds:1"})
		time.Sleep(time.Second)
		if asked["behind"]+asked["holds"] != before {
			t.Error("a document that is in force was fetched again")
		}
		stop()
		<-ended
		time.Sleep(time.Minute)
	})
}
