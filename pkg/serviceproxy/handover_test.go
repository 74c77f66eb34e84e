package serviceproxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/fake/service"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// TestPeerThatNeverAnswers checks that a call handed over to a gate that accepts it and never
// answers ends with the outcome unknown.
func TestPeerThatNeverAnswers(t *testing.T) {
	for _, path := range []string{"/svc/records/stamp", "/svc/records/bill"} {
		synctest.Test(t, func(t *testing.T) {
			v := view.New()
			v.Services.Put("records", object.Service{
				Name:      "records",
				OnceOnly:  []object.Call{{Method: "POST", Path: "/stamp"}},
				KeyHeader: service.KeyHeader,
				Timeout:   5 * time.Second,
			}, 1)
			v.Organisations.Put("boia", object.Organisation{Name: "boia"}, 1)
			v.Hosts.Put("r1", view.Host{Name: "r1", Incarnation: 1, Kind: view.KindService, Service: "records"}, 1)
			v.Shares.Put(view.HostTarget("r1"), view.Share{Target: view.HostTarget("r1"), Incarnation: 1, Gates: []view.GateShare{{Gate: "g2", Permits: 1}}}, 1)
			v.Gates.Put("g2", view.Gate{Name: "g2", PeerAddress: "g2:1"}, 1)
			silent := func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					buf := make([]byte, 1024)
					for {
						if _, err := far.Read(buf); err != nil {
							return
						}
					}
				}()
				return near, nil
			}
			p := New(Config{Gate: "g1", View: func() *view.View { return v }, Lease: lease(true), Transport: plaincall.New(silent)})
			h := NewHandoverHandler(p, func(view.TargetID, view.Incarnation) (int, int) { return 0, 0 })
			r := httptest.NewRequest(http.MethodPost, "http://gate"+path, strings.NewReader("vest 7"))
			r.Header.Set(HeaderOrganisation, "boia")
			r.Header.Set(service.KeyHeader, "k1")
			w := httptest.NewRecorder()
			done := make(chan struct{})
			go func() {
				defer close(done)
				h.ServeHTTP(w, r)
			}()
			select {
			case <-done:
			case <-time.After(time.Minute):
				t.Fatalf("%s: no answer after a minute", path)
			}
			if got := w.Header().Get(outcome.Header); got != "unknown" {
				t.Fatalf("%s: outcome %q, status %d", path, got, w.Code)
			}
			if err := p.Close(context.Background()); err != nil {
				t.Fatal(err)
			}
		})
	}
}
