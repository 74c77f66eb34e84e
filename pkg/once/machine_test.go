package once

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const testStart = view.Time(1_800_000_000 * int64(time.Second))

func timedKey(at view.Time, n int) string {
	ms := int64(at) / int64(time.Millisecond)
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

func testSet(retention time.Duration, maxRecords int) object.Set {
	return object.Set{Services: []object.Service{{
		Name:       "records",
		Timeout:    10 * time.Second,
		Retention:  retention,
		MaxRecords: maxRecords,
		MaxAnswer:  8,
	}}}
}

// attempt is what the model knows of one attempt.
type attempt struct {
	intent Intent
	acted  bool // its gate got Run and may have sent it
	ended  bool // its gate gave it up as not run
}

// model drives a machine and knows which keys may have run.
type model struct {
	m        *Machine
	options  Options
	now      view.Time
	keys     []string
	attempts []*attempt
	mayRun   map[string]*attempt
}

func newModel(t *rapid.T) *model {
	x := &model{
		options: Options{MaxTombstones: 6},
		now:     testStart,
		mayRun:  make(map[string]*attempt),
	}
	x.m = NewMachine(x.options)
	x.m.Publish(testSet(time.Hour, 5))
	for n := range 4 {
		x.keys = append(x.keys, fmt.Sprintf("opaque-%d", n), timedKey(testStart+view.Time(n)*view.Time(20*time.Minute), n))
	}
	return x
}

func (x *model) arrive(t *rapid.T) {
	n := len(x.attempts)
	a := &attempt{intent: Intent{
		Organisation:    "boia",
		Service:         "records",
		Key:             rapid.SampledFrom(x.keys).Draw(t, "key"),
		Digest:          rapid.SampledFrom([]string{"d1", "d1", "d1", "d2"}).Draw(t, "digest"),
		Gate:            view.GateName(rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "gate")),
		GateIncarnation: 1,
		Attempt:         fmt.Sprint(n),
	}}
	x.attempts = append(x.attempts, a)
	if rapid.Bool().Draw(t, "delivered") {
		x.intend(t, a)
	}
}

func (x *model) resend(t *rapid.T) {
	if len(x.attempts) > 0 {
		x.intend(t, rapid.SampledFrom(x.attempts).Draw(t, "attempt"))
	}
}

func (x *model) intend(t *rapid.T, a *attempt) {
	d := x.m.Intend(x.now, a.intent)
	if d.Kind != Run || a.acted || a.ended {
		return
	}
	if other := x.mayRun[a.intent.Key]; other != nil {
		t.Fatalf("attempt %s may run key %s that attempt %s may have run", a.intent.Attempt, a.intent.Key, other.intent.Attempt)
	}
	a.acted = true
	x.mayRun[a.intent.Key] = a
}

func (x *model) conclude(t *rapid.T) {
	if len(x.attempts) == 0 {
		return
	}
	a := rapid.SampledFrom(x.attempts).Draw(t, "attempt")
	o := rapid.SampledFrom([]outcome.Outcome{outcome.Ran, outcome.NotRun, outcome.Unknown}).Draw(t, "outcome")
	if o != outcome.NotRun && !a.acted {
		return
	}
	c := Conclusion{Organisation: a.intent.Organisation, Service: a.intent.Service, Key: a.intent.Key, Attempt: a.intent.Attempt, Outcome: o}
	if o == outcome.Ran {
		c.Answer = &Answer{Status: 200, Body: []byte("0123456789")[:rapid.IntRange(0, 10).Draw(t, "size")]}
	}
	if o == outcome.NotRun {
		a.ended = true
		if x.mayRun[a.intent.Key] == a {
			delete(x.mayRun, a.intent.Key)
		}
	}
	x.m.Conclude(x.now, c)
}

func (x *model) pass(t *rapid.T) {
	x.now += view.Time(rapid.SampledFrom([]time.Duration{time.Second, time.Minute, 20 * time.Minute, time.Hour}).Draw(t, "time"))
	x.m.Tick(x.now)
}

func (x *model) gateGone(t *rapid.T) {
	x.m.GateGone(x.now, view.GateName(rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "gate")), 1)
}

func (x *model) publish(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "withdrawn") == 0 {
		x.m.Publish(object.Set{})
		return
	}
	retention := time.Duration(rapid.IntRange(1, 180).Draw(t, "minutes")) * time.Minute
	x.m.Publish(testSet(retention, rapid.IntRange(1, 6).Draw(t, "records")))
}

// restart replaces the machine by one that was restored from its snapshot.
func (x *model) restart(t *rapid.T) {
	b, err := x.m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	m := NewMachine(x.options)
	if err := m.Restore(b); err != nil {
		t.Fatal(err)
	}
	again, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(b, again) {
		t.Fatal("the snapshot of a restored machine differs")
	}
	x.m = m
}

// check looks at the bounds.
func (x *model) check(t *rapid.T) {
	x.m.Tick(x.now)
	for _, s := range x.m.services {
		if s.opaque+len(s.tombstones) > x.options.MaxTombstones {
			t.Fatalf("%d opaque records and %d tombstones", s.opaque, len(s.tombstones))
		}
		for _, r := range s.progress {
			if r.Due <= x.now {
				t.Fatalf("key %s is in progress past its deadline", r.Key)
			}
		}
		for _, r := range s.records {
			if r.Answer != nil && len(r.Answer.Body) > 8 {
				t.Fatalf("an answer of %d bytes is kept", len(r.Answer.Body))
			}
		}
	}
}

// TestNoKeyRunsTwice plays random attempts, resends, conclusions, lost gates,
// expiries, changed limits and restarts.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   x.arrive,
			"resend":   x.resend,
			"conclude": x.conclude,
			"pass":     x.pass,
			"gateGone": x.gateGone,
			"publish":  x.publish,
			"restart":  x.restart,
			"":         x.check,
		})
	})
}

func TestDecisions(t *testing.T) {
	m := NewMachine(Options{MaxTombstones: 2})
	m.Publish(testSet(time.Hour, 3))
	now := testStart
	intent := Intent{Organisation: "boia", Service: "records", Key: "k1", Digest: "d", Gate: "g1", GateIncarnation: 1, Attempt: "a1", Host: "h1"}
	with := func(change func(*Intent)) Intent {
		i := intent
		change(&i)
		return i
	}
	want := func(step string, i Intent, kind DecisionKind) Decision {
		t.Helper()
		d := m.Intend(now, i)
		if d.Kind != kind {
			t.Fatalf("%s: %s, want %s", step, d.Kind, kind)
		}
		return d
	}
	conclude := func(i Intent, o outcome.Outcome, a *Answer, kind ResultKind) {
		t.Helper()
		c := Conclusion{Organisation: i.Organisation, Service: i.Service, Key: i.Key, Attempt: i.Attempt, Outcome: o, Answer: a}
		if r := m.Conclude(now, c); r.Kind != kind {
			t.Fatalf("conclusion %s: %s, want %s", o, r.Kind, kind)
		}
	}
	look := with(func(i *Intent) { i.LookupOnly = true; i.Attempt = "l" })
	want("look at a new key", look, Absent)
	second := with(func(i *Intent) { i.Attempt = "a2"; i.Gate = "g2" })

	want("first", intent, Run)
	want("lost reply of the log", intent, Run)
	want("second attempt", second, InProgress)
	want("look at a key in progress", look, InProgress)
	want("other body", with(func(i *Intent) { i.Digest = "e" }), KeyReused)
	want("other organisation", with(func(i *Intent) { i.Organisation = "nile"; i.Attempt = "a3" }), Run)
	conclude(second, outcome.Ran, &Answer{Status: 200}, Superseded)
	conclude(intent, outcome.Ran, &Answer{Status: 201, Body: []byte("done")}, Applied)
	if d := want("resend", second, Recorded); string(d.Answer.Body) != "done" || d.Answer.Status != 201 {
		t.Fatalf("recorded answer is %+v", d.Answer)
	}
	want("no room for opaque keys", with(func(i *Intent) { i.Key = "k2"; i.Attempt = "a4" }), OpaqueKeysFull)
	timed := with(func(i *Intent) { i.Key = timedKey(now, 1); i.Attempt = "a5" })
	want("key with a time", timed, Run)
	want("records full", with(func(i *Intent) { i.Key = timedKey(now, 2); i.Attempt = "a6" }), RecordsFull)
	conclude(timed, outcome.NotRun, nil, Applied)
	want("the attempt that ended", timed, AttemptEnded)
	timed.Attempt = "a7"
	want("the next attempt", timed, Run)
	if n := m.GateGone(now, "g1", 1); n != 2 {
		t.Fatalf("%d records became unknown, want 2", n)
	}
	want("after its gate was lost", with(func(i *Intent) { i.Key = timed.Key; i.Attempt = "a8" }), Unknown)
	conclude(timed, outcome.Ran, &Answer{Status: 200, Body: []byte("too long to keep")}, Applied)
	if d := want("answer not kept", timed, Recorded); !d.Answer.Omitted {
		t.Fatal("an answer over the limit was kept")
	}
	now += view.Time(2 * time.Hour)
	m.Tick(now)
	want("expired opaque key", second, Expired)
	want("expired key with a time", timed, Expired)
	want("key of the future", with(func(i *Intent) { i.Key = timedKey(now+view.Time(time.Hour), 3) }), KeyAhead)
	want("unknown service", with(func(i *Intent) { i.Service = "none" }), NotDeclared)
	want("no key", with(func(i *Intent) { i.Key = "" }), Invalid)
}

func TestLateIntentOfAnEndedAttempt(t *testing.T) {
	m := NewMachine(Options{})
	m.Publish(testSet(time.Hour, 3))
	i := Intent{Organisation: "boia", Service: "records", Key: "k1", Digest: "d", Gate: "g1", Attempt: "a1"}
	c := Conclusion{Organisation: "boia", Service: "records", Key: "k1", Attempt: "a1", Outcome: outcome.NotRun}
	if r := m.Conclude(testStart, c); r.Kind != Applied {
		t.Fatalf("conclusion before its intent: %s", r.Kind)
	}
	if d := m.Intend(testStart, i); d.Kind != AttemptEnded {
		t.Fatalf("late intent: %s", d.Kind)
	}
	i.Attempt = "a2"
	if d := m.Intend(testStart, i); d.Kind != Run {
		t.Fatalf("next attempt: %s", d.Kind)
	}
}
