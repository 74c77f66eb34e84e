package timeline

import (
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of Options.
const (
	DefaultRingSize     = 8192     // events
	DefaultMaxFileBytes = 16 << 20 // of one file; one rotated file is kept beside it
	fileQueueLength     = 4096     // events waiting to be written
)

// Options configure a Recorder.
type Options struct {
	Process       string // such as "gate/g1"
	FailureDomain string
	RingSize      int              // events; DefaultRingSize when 0
	File          string           // path of the JSON lines file; "" for no file
	MaxFileBytes  int64            // DefaultMaxFileBytes when 0
	Now           func() time.Time // time.Now when nil
}

// Recorder keeps the events of one process. A nil Recorder records nothing.
type Recorder struct {
	options Options
	clock   Clock
	dropped atomic.Uint64

	mu         sync.Mutex
	ring       *ring
	queue      chan Event    // nil without a file, and after Close
	writerDone chan struct{} // closed when the goroutine that writes the file has ended
}

// NewRecorder returns a recorder and opens its file if one is configured.
func NewRecorder(o Options) (*Recorder, error) {
	if o.RingSize <= 0 {
		o.RingSize = DefaultRingSize
	}
	if o.MaxFileBytes <= 0 {
		o.MaxFileBytes = DefaultMaxFileBytes
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	r := &Recorder{options: o, ring: newRing(o.RingSize)}
	if o.File == "" {
		return r, nil
	}
	f, err := openFile(o.File, o.MaxFileBytes)
	if err != nil {
		return nil, err
	}
	r.queue = make(chan Event, fileQueueLength)
	r.writerDone = make(chan struct{})
	go r.write(f, r.queue)
	return r, nil
}

// Record stamps an event with this process and the current time and stores it. It
// never blocks on the file.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.clock.Now(r.options.Now())
	e.Process = r.options.Process
	e.FailureDomain = r.options.FailureDomain
	r.ring.add(e)
	if r.queue == nil {
		return
	}
	select {
	case r.queue <- e:
	default:
		r.dropped.Add(1)
	}
}

// Stamp returns the timestamp to send with a message.
func (r *Recorder) Stamp() HLC {
	if r == nil {
		return HLC{}
	}
	return r.clock.Now(r.options.Now())
}

// Observe merges the stamp of a received message into the clock. It ignores the
// zero stamp of a sender without a clock.
func (r *Recorder) Observe(h HLC) {
	if r == nil || h.IsZero() {
		return
	}
	_ = r.clock.Observe(r.options.Now(), h) // events of a sender whose clock is wrong only lose their causal order
}

// Events returns the newest events in the ring that match, oldest first, at
// most limit of them; 0 returns all.
func (r *Recorder) Events(f Filter, limit int) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	all := r.ring.list()
	r.mu.Unlock()
	list := Select(all, f)
	if limit > 0 && len(list) > limit {
		list = list[len(list)-limit:]
	}
	return list
}

// Dropped returns the number of events that were not written to the file.
func (r *Recorder) Dropped() uint64 {
	if r == nil {
		return 0
	}
	return r.dropped.Load()
}

// Close writes the queued events to the file and closes it. Later events are kept
// in the ring only.
func (r *Recorder) Close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	queue := r.queue
	r.queue = nil
	r.mu.Unlock()
	if queue == nil {
		return
	}
	close(queue)
	<-r.writerDone
}

// write appends queued events to the file until the queue is closed.
func (r *Recorder) write(f *file, queue <-chan Event) {
	defer close(r.writerDone)
	defer f.close()
	for e := range queue {
		if err := f.append(e); err != nil {
			r.dropped.Add(1)
		}
	}
}
