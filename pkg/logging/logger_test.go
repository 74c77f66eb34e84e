package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

func fixedNow() time.Time { return time.Date(2030, 5, 1, 12, 0, 0, 0, time.UTC) }

func TestLoggerWritesOneLineOfPairs(t *testing.T) {
	var b bytes.Buffer
	l := New(&b, Options{Process: "gate/g1", Host: "entry-1", Level: Info, Now: fixedNow})
	l.Debug("left out")
	l.Info("request refused", FieldRequest, "r-7", "text", "two\nlines", "key", Secret("open sesame"))
	want := `time=2030-05-01T12:00:00.000Z level=info msg="request refused" process=gate/g1 host=entry-1 ` +
		`request=r-7 text="two\nlines" key=[redacted]` + "\n"
	if b.String() != want {
		t.Fatalf("got  %swant %s", b.String(), want)
	}
}

func TestSecretIsNeverPrinted(t *testing.T) {
	type holder struct{ Key Secret }
	h := holder{Key: "open sesame"}
	text, err := json.Marshal(h)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	New(&b, Options{}).Error("failed", "holder", h, "err", fmt.Errorf("key %s", h.Key))
	all := fmt.Sprintf("%v %+v %#v %s %q %d %x %s %s", h, h, h, h.Key, h.Key, h.Key, h.Key, text, b.String())
	if strings.Contains(all, "sesame") {
		t.Fatalf("secret was printed: %s", all)
	}
	if h.Key.Reveal() != "open sesame" {
		t.Fatal("Reveal does not return the secret's value")
	}
}

func TestLevelCheck(t *testing.T) {
	for _, l := range []Level{Debug, Info, Warn, Error} {
		if err := l.Check(); err != nil {
			t.Errorf("%s: %v", l, err)
		}
	}
	if Level("loud").Check() == nil {
		t.Error("unknown level was accepted")
	}
}
