package serviceproxy

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// TestHandedOverCallCarriesStamp checks that the gate's timeline stamp replaces one sent by
// the caller.
func TestHandedOverCallCarriesStamp(t *testing.T) {
	p := New(Config{Gate: "g1", TimelineStamp: func() string { return "7.1" }})
	h := NewHandoverHandler(p, nil)
	in := httptest.NewRequest(http.MethodPost, "http://gate/svc/records/stamp", nil)
	out := h.request(in, view.Gate{PeerAddress: "g2:1"}, http.Header{timeline.Header: {"9.9"}}, nil)
	if got := out.Header.Values(timeline.Header); len(got) != 1 || got[0] != "7.1" {
		t.Fatalf("stamps are %q", got)
	}
}
