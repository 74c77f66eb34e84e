package entry

import (
	"testing"
	"testing/synctest"
)

// An attempt whose time is over says nothing about its upstream.
func TestRequestWithoutTimeIsNoFailureOfItsUpstream(t *testing.T) {
	for _, kind := range []string{"once", "stream"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := fixedAnswer(200, "X-Sig: s\r\n", "")
				b := newHarness(t, map[string]answerFunc{"p1": answer, "head1": answer})
				if w := b.send("POST", "/"+kind+"/1", "late", map[string]string{testHeaders.Deadline: "0"}); w.status == 200 || w.status == 0 {
					t.Errorf("the late request got %d", w.status)
				}
				if w := b.send("POST", "/"+kind+"/1", "in time", nil); w.status != 200 {
					t.Errorf("the next request got %d %q", w.status, &w.body)
				}
			})
		})
	}
}
