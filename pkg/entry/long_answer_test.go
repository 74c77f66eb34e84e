package entry

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
)

func TestLongErrorAnswerOfAStreamIsForwardedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("x", 2*maxBufferedAnswer)
		b := newHarness(t, map[string]answerFunc{"head1": fixedAnswer(404, "X-Sig: s\r\n", body)})
		if w := b.send("POST", "/stream/1", "x", nil); w.status != http.StatusNotFound || w.body.String() != body {
			t.Errorf("answered %d with %d of %d bytes", w.status, w.body.Len(), len(body))
		}
	})
}

func TestLongUnsignedAnswerIsNoSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"p1": fixedAnswer(200, "", strings.Repeat("x", 2*maxBufferedAnswer))})
		if w := b.send("POST", "/once/1", "x", nil); w.status != http.StatusBadGateway {
			t.Errorf("answered %d with %d bytes", w.status, w.body.Len())
		}
	})
}
