package once

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Indexes that held compactMinRecords records or more are rebuilt when no more than one in
// compactDivisor is left.
const (
	compactMinRecords = 1024
	compactDivisor    = 4
)

// inProgressRetryAfter is the retry delay given to a resend while the owner of the key is at work.
const inProgressRetryAfter = time.Second

// serviceRecords holds the records of one service. It outlives the service object, because a
// service that is removed and declared again must not run a key twice.
type serviceRecords struct {
	name          string
	options       *Options
	declared      bool
	limits        limits
	records       map[recordKey]*record
	inProgress    map[recordKey]*record // records in progress
	opaqueRecords int                   // number of records with opaque keys
	tombstones    map[uint64]struct{}   // hashes of expired opaque keys
	floor         view.Time             // keys with a time at or below it are expired
	due           dueQueue
	peakRecords   int // largest number of records since the maps were built
}

func newServiceRecords(name string, o *Options) *serviceRecords {
	return &serviceRecords{
		name:       name,
		options:    o,
		records:    make(map[recordKey]*record),
		inProgress: make(map[recordKey]*record),
		tombstones: make(map[uint64]struct{}),
	}
}

// publish puts new limits in force. The floor prevents keys that were dropped under the old
// retention from becoming valid again under a longer one.
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
		return s.decideExisting(now, r, i)
	}
	if i.LookupOnly {
		return s.lookUp(now, i)
	}
	if ok && r.Attempt == i.Attempt {
		return Decision{Kind: AttemptEnded, Attempt: r.Attempt}
	}
	if ok {
		return s.startAttempt(now, r, i)
	}
	if refused := s.refuseNewKey(now, i); refused.Kind != "" {
		return refused
	}
	r = &record{Organisation: i.Organisation, Key: i.Key}
	s.insert(r)
	return s.startAttempt(now, r, i)
}

// lookUp answers a lookup of a key that no attempt may have run.
func (s *serviceRecords) lookUp(now view.Time, i Intent) Decision {
	if d := s.refuseNewKey(now, i); d.Kind == Expired {
		return d
	}
	return Decision{Kind: Absent}
}

// startAttempt assigns the key to the intent's attempt.
func (s *serviceRecords) startAttempt(now view.Time, r *record, i Intent) Decision {
	deadline := addDuration(now, s.limits.Timeout+s.options.ConcludeTimeout)
	r.assign(i, now, deadline)
	s.inProgress[r.id()] = r
	s.due.add(r)
	return Decision{Kind: Run, Attempt: i.Attempt, Host: i.Host}
}

// decideExisting answers an intent for a key that has run, is running or may have run.
func (s *serviceRecords) decideExisting(now view.Time, r *record, i Intent) Decision {
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
		d.RetryAfter = inProgressRetryAfter
		if r.Attempt == i.Attempt {
			d.Kind = Run
			d.RetryAfter = 0
		}
	}
	return d
}

// refuseNewKey returns why a key without a record can't run, or the zero Decision.
func (s *serviceRecords) refuseNewKey(now view.Time, i Intent) Decision {
	at, timed := KeyTime(i.Key)
	if timed && at <= s.floor {
		return Decision{Kind: Expired}
	}
	if timed && at > addDuration(now, s.options.MaxKeyAhead) {
		return Decision{Kind: KeyAhead, RetryAfter: time.Duration(at - addDuration(now, s.options.MaxKeyAhead))}
	}
	if _, dead := s.tombstones[s.keyHash(i.Organisation, i.Key)]; !timed && dead {
		return Decision{Kind: Expired}
	}
	if len(s.records) >= s.limits.MaxRecords {
		return Decision{Kind: RecordsFull, RetryAfter: s.timeUntilRoom(now)}
	}
	if !timed && s.opaqueRecords+len(s.tombstones) >= s.options.MaxTombstones {
		return Decision{Kind: OpaqueKeysFull}
	}
	return Decision{}
}

// timeUntilRoom returns the time until the next record may be dropped.
func (s *serviceRecords) timeUntilRoom(now view.Time) time.Duration {
	s.skipStale()
	if len(s.due) == 0 {
		return inProgressRetryAfter
	}
	return max(inProgressRetryAfter, time.Duration(s.due[0].at-now))
}

func (s *serviceRecords) insert(r *record) {
	s.records[r.id()] = r
	s.peakRecords = max(s.peakRecords, len(s.records))
	if !r.hasTimedKey() {
		s.opaqueRecords++
	}
}

func (s *serviceRecords) remove(r *record) {
	delete(s.records, r.id())
	delete(s.inProgress, r.id())
	if !r.hasTimedKey() {
		s.opaqueRecords--
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

// concludeMissing records an attempt that ended before its intent arrived, so that the late intent
// can't leave the key in progress.
func (s *serviceRecords) concludeMissing(now view.Time, c Conclusion) Result {
	at, timed := KeyTime(c.Key)
	if c.Outcome != outcome.NotRun || c.Queried || timed && at <= s.floor {
		return Result{Kind: Missing}
	}
	if s.refuseNewKey(now, Intent{Organisation: c.Organisation, Key: c.Key}).Kind != "" {
		return Result{Kind: Missing}
	}
	r := &record{Organisation: c.Organisation, Key: c.Key, Attempt: c.Attempt}
	s.insert(r)
	s.setState(r, stateNotRun, addDuration(now, s.options.NotRunRetention))
	return Result{Kind: Applied}
}

func (s *serviceRecords) concludeRan(now view.Time, r *record, c Conclusion) Result {
	if r.State == stateRecorded {
		return Result{Kind: Unchanged}
	}
	r.Answer = c.Answer.truncated(s.limits.MaxAnswer)
	s.setState(r, stateRecorded, s.expiresAt(r))
	return Result{Kind: Applied}
}

func (s *serviceRecords) concludeNotRun(now view.Time, r *record) Result {
	switch r.State {
	case stateRecorded:
		return Result{Kind: Conflict}
	case stateNotRun:
		return Result{Kind: Unchanged}
	}
	s.setState(r, stateNotRun, addDuration(now, s.options.NotRunRetention))
	return Result{Kind: Applied}
}

func (s *serviceRecords) concludeUnknown(now view.Time, r *record) Result {
	switch r.State {
	case stateUnknown:
		return Result{Kind: Unchanged}
	case stateInProgress:
		s.setUnknown(r)
		return Result{Kind: Applied}
	}
	return Result{Kind: Conflict}
}

// setUnknown ends a record in progress whose outcome can no longer be determined.
func (s *serviceRecords) setUnknown(r *record) {
	if s.options.Unsafe.ForgetUnknown {
		s.remove(r)
		return
	}
	s.setState(r, stateUnknown, s.expiresAt(r))
}

func (s *serviceRecords) setState(r *record, to recordState, due view.Time) {
	delete(s.inProgress, r.id())
	r.State = to
	r.Due = due
	s.due.add(r)
}

// expiresAt returns when a record that may have run may be dropped: one full retention after its
// start and after the time that its key carries.
func (s *serviceRecords) expiresAt(r *record) view.Time {
	from := r.Began
	if at, ok := KeyTime(r.Key); ok {
		from = max(from, at)
	}
	return addDuration(from, s.limits.Retention)
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
		s.due.removeFirst()
		s.endState(r)
	}
	s.compact()
}

// compact rebuilds the indexes when most records are gone, because a map keeps its largest size.
func (s *serviceRecords) compact() {
	if s.peakRecords < compactMinRecords || len(s.records) > s.peakRecords/compactDivisor {
		return
	}
	s.peakRecords = len(s.records)
	s.records = copyRecords(s.records)
	s.inProgress = copyRecords(s.inProgress)
	s.due = slices.Clone(s.due)
}

func copyRecords(m map[recordKey]*record) map[recordKey]*record {
	c := make(map[recordKey]*record, len(m))
	for k, r := range m {
		c[k] = r
	}
	return c
}

// endState ends the present state of a record.
func (s *serviceRecords) endState(r *record) {
	switch r.State {
	case stateInProgress:
		s.setUnknown(r)
	case stateNotRun:
		s.remove(r)
	default:
		s.expire(r)
	}
}

// expire drops a record that ran or may have run. The floor or the tombstone that remains prevents
// its key from running again.
func (s *serviceRecords) expire(r *record) {
	s.remove(r)
	if s.options.Unsafe.ForgetExpired {
		return
	}
	if at, ok := KeyTime(r.Key); ok {
		s.floor = max(s.floor, at)
		return
	}
	s.tombstones[s.keyHash(r.Organisation, r.Key)] = struct{}{}
}

// skipStale drops queue entries whose record has a new due time or is gone.
func (s *serviceRecords) skipStale() {
	for len(s.due) > 0 {
		r, ok := s.records[s.due[0].id]
		if ok && r.Due == s.due[0].at {
			return
		}
		s.due.removeFirst()
	}
}

func (s *serviceRecords) keyHash(organisation, key string) uint64 {
	return keyHash(organisation, s.name, key)
}
