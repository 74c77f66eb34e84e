package timeline

import (
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of Options.
const (
	DefaultRingSize     = 8192     // events
	DefaultMaxFileBytes = 16 << 20 // one file; an older one is kept beside it
	fileQueue           = 4096     // events that wait to be written
)

// Options configure a Recorder.
type Options struct {
	Process       string // such as "gate/g1"
	FailureDomain string
	RingSize      int              // events; DefaultRingSize when 0
	File          string           // JSON lines; "" keeps no file
	MaxFileBytes  int64            // DefaultMaxFileBytes when 0
	Now           func() time.Time // time.Now when nil
}

// Recorder keeps the events of one process. A nil Recorder records nothing.
type Recorder struct {
	options Options
	clock   Clock
	dropped atomic.Uint64

	mu     sync.Mutex
	ring   *ring
	queue  chan Event    // nil without a file, and after Close
	joined chan struct{} // closed when the file's goroutine has ended
}

// NewRecorder returns a recorder and opens its file, if it has one.
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
	r.queue = make(chan Event, fileQueue)
	r.joined = make(chan struct{})
	go r.write(f, r.queue)
	return r, nil
}

// Record stamps an event with this process and the present moment and keeps
// it. It never blocks on the file.
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

// Stamp returns the moment to send along with a message.
func (r *Recorder) Stamp() HLC {
	if r == nil {
		return HLC{}
	}
	return r.clock.Now(r.options.Now())
}

// Observe takes over the stamp that came with a message; the zero stamp of a
// sender without a clock changes nothing.
func (r *Recorder) Observe(h HLC) {
	if r == nil || h.IsZero() {
		return
	}
	_ = r.clock.Observe(r.options.Now(), h) // a sender whose clock is wrong only loses its order
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

// Dropped counts events that did not reach the file.
func (r *Recorder) Dropped() uint64 {
	if r == nil {
		return 0
	}
	return r.dropped.Load()
}

// Close writes what waits for the file and closes it. Later events stay in the
// ring alone.
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
	<-r.joined
}

// write is the duty that moves events to the file.
func (r *Recorder) write(f *file, queue <-chan Event) {
	defer close(r.joined)
	defer f.close()
	for e := range queue {
		if err := f.append(e); err != nil {
			r.dropped.Add(1)
		}
	}
}
