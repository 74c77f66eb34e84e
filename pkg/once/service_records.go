package once

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Indexes that held shrinkFrom records or more are made anew when no more than
// one in shrinkPart is left.
const (
	shrinkFrom = 1024
	shrinkPart = 4
)

// inProgressRetry is the advice to a resend while the owner is at work.
const inProgressRetry = time.Second

// serviceRecords holds the records of one service. It outlives the service
// object, for a service that is taken away and declared again must not run a
// key twice.
type serviceRecords struct {
	name       string
	options    *Options
	declared   bool
	limits     limits
	records    map[recordKey]*record
	progress   map[recordKey]*record // those in progress
	opaque     int                   // records with opaque keys
	tombstones map[uint64]struct{}   // hashes of expired opaque keys
	floor      view.Time             // keys that carry a time up to it are expired
	due        dueQueue
	peak       int // records held at once since the maps were made
}

func newServiceRecords(name string, o *Options) *serviceRecords {
	return &serviceRecords{
		name:       name,
		options:    o,
		records:    make(map[recordKey]*record),
		progress:   make(map[recordKey]*record),
		tombstones: make(map[uint64]struct{}),
	}
}

// publish puts new limits in force. The floor keeps what the old retention
// dropped from coming back under a longer one.
func (s *serviceRecords) publish(now view.Time, l limits) {
	s.raiseFloor(now)
	s.limits = l
	s.declared = true
	s.raiseFloor(now)
}

func (s *serviceRecords) raiseFloor(now view.Time) {
	if !s.declared {
		return
	}
	s.floor = max(s.floor, now-view.Time(s.limits.Retention))
}

func (s *serviceRecords) intend(now view.Time, i Intent) Decision {
	s.raiseFloor(now)
	id := recordKey{i.Organisation, i.Key}
	r, ok := s.records[id]
	if ok && r.State != stateNotRun {
		return s.known(now, r, i)
	}
	if i.LookupOnly {
		return s.look(now, i)
	}
	if ok && r.Attempt == i.Attempt {
		return Decision{Kind: AttemptEnded, Attempt: r.Attempt}
	}
	if ok {
		return s.run(now, r, i)
	}
	if refused := s.refuseNew(now, i); refused.Kind != "" {
		return refused
	}
	r = &record{Organisation: i.Organisation, Key: i.Key}
	s.insert(r)
	return s.run(now, r, i)
}

// look tells what is known of a key that no attempt may have run.
func (s *serviceRecords) look(now view.Time, i Intent) Decision {
	if d := s.refuseNew(now, i); d.Kind == Expired {
		return d
	}
	return Decision{Kind: Absent}
}

// run gives the key to the intent's attempt.
func (s *serviceRecords) run(now view.Time, r *record, i Intent) Decision {
	deadline := after(now, s.limits.Timeout+s.options.ConcludeTimeout)
	r.take(i, now, deadline)
	s.progress[r.id()] = r
	s.due.add(r)
	return Decision{Kind: Run, Attempt: i.Attempt, Host: i.Host}
}

// known answers an intent for a key that has run, runs or may have run.
func (s *serviceRecords) known(now view.Time, r *record, i Intent) Decision {
	if r.Digest != i.Digest {
		return Decision{Kind: KeyReused, Attempt: r.Attempt}
	}
	d := Decision{Attempt: r.Attempt, Host: r.Host}
	switch r.State {
	case stateRecorded:
		d.Kind = Recorded
		d.Answer = r.Answer
	case stateUnknown:
		d.Kind = Unknown
	case stateInProgress:
		d.Kind = InProgress
		d.RetryAfter = inProgressRetry
		if r.Attempt == i.Attempt {
			d.Kind = Run
			d.RetryAfter = 0
		}
	}
	return d
}

// refuseNew tells why a key without a record can't run, or returns the zero
// Decision.
func (s *serviceRecords) refuseNew(now view.Time, i Intent) Decision {
	at, timed := KeyTime(i.Key)
	if timed && at <= s.floor {
		return Decision{Kind: Expired}
	}
	if timed && at > after(now, s.options.MaxKeyAhead) {
		return Decision{Kind: KeyAhead, RetryAfter: time.Duration(at - after(now, s.options.MaxKeyAhead))}
	}
	if _, dead := s.tombstones[s.hash(i.Organisation, i.Key)]; !timed && dead {
		return Decision{Kind: Expired}
	}
	if len(s.records) >= s.limits.MaxRecords {
		return Decision{Kind: RecordsFull, RetryAfter: s.untilRoom(now)}
	}
	if !timed && s.opaque+len(s.tombstones) >= s.options.MaxTombstones {
		return Decision{Kind: OpaqueKeysFull}
	}
	return Decision{}
}

// untilRoom is the time until the next record may leave.
func (s *serviceRecords) untilRoom(now view.Time) time.Duration {
	s.skipStale()
	if len(s.due) == 0 {
		return inProgressRetry
	}
	return max(inProgressRetry, time.Duration(s.due[0].at-now))
}

func (s *serviceRecords) insert(r *record) {
	s.records[r.id()] = r
	s.peak = max(s.peak, len(s.records))
	if !r.timed() {
		s.opaque++
	}
}

func (s *serviceRecords) remove(r *record) {
	delete(s.records, r.id())
	delete(s.progress, r.id())
	if !r.timed() {
		s.opaque--
	}
}

func (s *serviceRecords) conclude(now view.Time, c Conclusion) Result {
	r, ok := s.records[recordKey{c.Organisation, c.Key}]
	if !ok {
		return s.concludeMissing(now, c)
	}
	if r.Attempt != c.Attempt {
		return Result{Kind: Superseded}
	}
	if c.Queried && c.Outcome != outcome.Ran && r.State == stateInProgress {
		return Result{Kind: Conflict}
	}
	switch c.Outcome {
	case outcome.Ran:
		return s.concludeRan(now, r, c)
	case outcome.NotRun:
		return s.concludeNotRun(now, r)
	default:
		return s.concludeUnknown(now, r)
	}
}

// concludeMissing remembers an attempt that ended before its intent arrived,
// so that the late intent can't leave the key in progress.
func (s *serviceRecords) concludeMissing(now view.Time, c Conclusion) Result {
	at, timed := KeyTime(c.Key)
	if c.Outcome != outcome.NotRun || c.Queried || timed && at <= s.floor {
		return Result{Kind: Missing}
	}
	if s.refuseNew(now, Intent{Organisation: c.Organisation, Key: c.Key}).Kind != "" {
		return Result{Kind: Missing}
	}
	r := &record{Organisation: c.Organisation, Key: c.Key, Attempt: c.Attempt}
	s.insert(r)
	s.settle(r, stateNotRun, after(now, s.options.NotRunRetention))
	return Result{Kind: Applied}
}

func (s *serviceRecords) concludeRan(now view.Time, r *record, c Conclusion) Result {
	if r.State == stateRecorded {
		return Result{Kind: Unchanged}
	}
	r.Answer = c.Answer.within(s.limits.MaxAnswer)
	s.settle(r, stateRecorded, s.expiry(r))
	return Result{Kind: Applied}
}

func (s *serviceRecords) concludeNotRun(now view.Time, r *record) Result {
	switch r.State {
	case stateRecorded:
		return Result{Kind: Conflict}
	case stateNotRun:
		return Result{Kind: Unchanged}
	}
	s.settle(r, stateNotRun, after(now, s.options.NotRunRetention))
	return Result{Kind: Applied}
}

func (s *serviceRecords) concludeUnknown(now view.Time, r *record) Result {
	switch r.State {
	case stateUnknown:
		return Result{Kind: Unchanged}
	case stateInProgress:
		s.settleUnknown(r)
		return Result{Kind: Applied}
	}
	return Result{Kind: Conflict}
}

// settleUnknown ends a record in progress whose outcome nobody can tell now.
func (s *serviceRecords) settleUnknown(r *record) {
	if s.options.Unsafe.ForgetUnknown {
		s.remove(r)
		return
	}
	s.settle(r, stateUnknown, s.expiry(r))
}

func (s *serviceRecords) settle(r *record, to state, due view.Time) {
	delete(s.progress, r.id())
	r.State = to
	r.Due = due
	s.due.add(r)
}

// expiry is when a record that may have run may be dropped: a whole retention
// after its beginning and after the time that its key carries.
func (s *serviceRecords) expiry(r *record) view.Time {
	from := r.Began
	if at, ok := KeyTime(r.Key); ok {
		from = max(from, at)
	}
	return after(from, s.limits.Retention)
}

// tick ends every state that is due.
func (s *serviceRecords) tick(now view.Time) {
	s.raiseFloor(now)
	for {
		s.skipStale()
		if len(s.due) == 0 || s.due[0].at > now {
			break
		}
		r := s.records[s.due[0].id]
		s.due.drop()
		s.end(r)
	}
	s.shrink()
}

// shrink makes the indexes anew when most records have left: a map keeps its
// largest size.
func (s *serviceRecords) shrink() {
	if s.peak < shrinkFrom || len(s.records) > s.peak/shrinkPart {
		return
	}
	s.peak = len(s.records)
	s.records = copied(s.records)
	s.progress = copied(s.progress)
	s.due = slices.Clone(s.due)
}

func copied(m map[recordKey]*record) map[recordKey]*record {
	c := make(map[recordKey]*record, len(m))
	for k, r := range m {
		c[k] = r
	}
	return c
}

// end carries out the end of a record's state.
func (s *serviceRecords) end(r *record) {
	switch r.State {
	case stateInProgress:
		s.settleUnknown(r)
	case stateNotRun:
		s.remove(r)
	default:
		s.expire(r)
	}
}

// expire drops a record that ran or may have run. What stays behind keeps its
// key from running again.
func (s *serviceRecords) expire(r *record) {
	s.remove(r)
	if s.options.Unsafe.ForgetExpired {
		return
	}
	if at, ok := KeyTime(r.Key); ok {
		s.floor = max(s.floor, at)
		return
	}
	s.tombstones[s.hash(r.Organisation, r.Key)] = struct{}{}
}

// skipStale drops queue entries whose record has moved on.
func (s *serviceRecords) skipStale() {
	for len(s.due) > 0 {
		r, ok := s.records[s.due[0].id]
		if ok && r.Due == s.due[0].at {
			return
		}
		s.due.drop()
	}
}

func (s *serviceRecords) hash(organisation, key string) uint64 {
	return hash(organisation, s.name, key)
}
