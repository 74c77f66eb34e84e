package entry

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// pauseGrace is how long after an answer that asks for a pause requests may still arrive.
const pauseGrace = 500 * time.Millisecond

// drainTime is how long after an entry host was told that an upstream leaves its requests may arrive.
const drainTime = 2 * time.Second

// noticeLog records at a simulated upstream which pauses it asked for and what arrived meanwhile.
type noticeLog struct {
	mu     sync.Mutex
	pauses []*requestedPause
	told   map[string]time.Time // when an entry host was first told that the upstream leaves
	late   int                  // requests of an entry host later than drainTime after that
}

// requestedPause is a pause that one process asked one entry host for.
type requestedPause struct {
	entry, upstream string
	from, until     time.Time
	arrivals        int
}

// arrived records a request of an entry host to an upstream that leaves, or not.
func (l *noticeLog) arrived(entry, upstream string, leaves bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.told == nil {
		l.told = map[string]time.Time{}
	}
	switch at, told := l.told[entry]; {
	case leaves && !told:
		l.told[entry] = now
	case leaves && now.Sub(at) > drainTime:
		l.late++
	}
	for _, p := range l.pauses {
		if p.entry == entry && p.upstream == upstream && now.After(p.from) && now.Before(p.until) {
			p.arrivals++
		}
	}
}

// asked records that a process asked an entry host for a pause.
func (l *noticeLog) asked(entry, upstream string, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.pauses = append(l.pauses, &requestedPause{entry: entry, upstream: upstream, from: now.Add(pauseGrace), until: now.Add(pause)})
}

// mostInPause returns the most requests that arrived in one pause.
func (l *noticeLog) mostInPause() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, p := range l.pauses {
		most = max(most, p.arrivals)
	}
	return most
}

// answerPaused answers a request while the upstream takes none. It reports whether it did.
func (h *simulatedHost) answerPaused(c net.Conn, attempt, id string) bool {
	h.mu.Lock()
	pause, proves := h.pause, h.proves
	h.mu.Unlock()
	if pause == "" {
		return false
	}
	extra := "Retry-After: " + pause + "\r\n"
	if proves {
		extra += testHeaders.NotRun + ": 1\r\n"
	}
	if seconds, err := strconv.ParseFloat(pause, 64); err == nil {
		h.notices.asked(c.RemoteAddr().String(), id, time.Duration(seconds*float64(time.Second)))
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nX-Attempt: %s\r\n%sContent-Length: 4\r\n\r\nfull", attempt, extra)
	return true
}
