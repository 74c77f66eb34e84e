package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the engines, as in the manifest of the case.
const (
	loadTime     = 12 * time.Second // load_s
	warmTime     = 1100 * time.Millisecond
	rejoinTime   = 200 * time.Millisecond
	formTime     = 300 * time.Millisecond
	stallTime    = 5 * time.Second
	streamEvents = 5
	eventPause   = 50 * time.Millisecond
)

// seat is the place of an engine host in a group.
type seat struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`

	members []string
}

// engineHost is a stand-in for a host that forms groups. Its lock is that of the engines.
type engineHost struct {
	engines      *engines
	id, zone     string
	address      string
	born         int64
	sequence     int
	state        string
	staged       []string
	seat         *seat
	lastModel    string
	highestEpoch int64
	fence        uint64
	cutOff       bool          // from the core; requests reach it
	lateJoin     time.Duration // the next join gets no answer and is carried out after this time
	changed      chan struct{}
}

// engines are all engine hosts of a case.
type engines struct {
	d    *deployment
	r    *record
	quit chan struct{}

	mu      sync.Mutex
	hosts   map[string]*engineHost
	traffic bool
	twice   []string // joins of a host whose group's head was open
}

func newEngines(d *deployment, r *record) *engines {
	return &engines{d: d, r: r, quit: make(chan struct{}), hosts: map[string]*engineHost{}}
}

// add starts a host.
func (e *engines) add(i int) (*engineHost, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.9.%d:%d", 120+i, e.d.port))
	if err != nil {
		return nil, err
	}
	h := &engineHost{
		engines: e, id: fmt.Sprintf("i-%c", 'a'+i), zone: zones[0], address: l.Addr().String(), born: time.Now().UnixMilli(),
		state: "ready", changed: make(chan struct{}, 1),
	}
	e.mu.Lock()
	e.hosts[h.id] = h
	e.mu.Unlock()
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-e.quit
		_ = server.Close()
	}()
	go h.announce(i)
	return h, nil
}

// announce sends heartbeats, at once after a change.
func (h *engineHost) announce(next int) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		h.engines.mu.Lock()
		h.sequence++
		cutOff := h.cutOff
		body, _ := json.Marshal(map[string]any{
			"service": "huvo11a", "address": h.address, "zone": h.zone, "version": "v1", "slots": 26, "state": h.state, "warmup_left_ms": 0,
			"stage": "unified", "sequence": h.sequence, "born": h.born, "domain": "d1", "staged": append([]string{}, h.staged...), "group": h.seat,
		})
		h.engines.mu.Unlock()
		wait := heartbeatInterval
		if !cutOff {
			req, _ := http.NewRequest(http.MethodPut, "http://"+h.engines.d.coordinatorAddress(next%len(h.engines.d.coordinators))+"/api/instances/"+h.id, bytes.NewReader(body))
			resp, err := client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			if err != nil || resp.StatusCode != http.StatusOK {
				wait = 100 * time.Millisecond
				next++
			}
		}
		select {
		case <-h.engines.quit:
			return
		case <-h.changed:
		case <-time.After(wait):
		}
	}
}

// report makes the host announce itself. The caller holds the lock.
func (h *engineHost) report() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

func (h *engineHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	fromCore := strings.HasPrefix(r.URL.Path, "/api/")
	h.engines.mu.Lock()
	cutOff := h.cutOff
	h.engines.mu.Unlock()
	if fromCore && cutOff {
		<-r.Context().Done() // nothing comes through
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != h.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/api/order":
		h.takeOrder(w, r)
	case fromCore:
		_, _ = w.Write([]byte(`{"stage":"unified","models":[],"busy":false,"sequence":1,"waiting":0,"running":0,"kv_used":0,"kv_total":1400000,"kv_handles":0}`))
	default:
		h.stream(w, r)
	}
}

// wireOrder is an order of the core.
type wireOrder struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Fence   uint64   `json:"fencing_token"`
}

func (h *engineHost) takeOrder(w http.ResponseWriter, r *http.Request) {
	var o wireOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e := h.engines
	e.mu.Lock()
	late := time.Duration(0)
	if o.Op == "join" {
		late, h.lateJoin = h.lateJoin, 0
	}
	if late > 0 {
		e.mu.Unlock()
		e.r.add("order to %s: join of %s with %v; it gets no answer and is carried out %v later", h.id, o.Group, o.Members, late)
		time.AfterFunc(late, func() {
			e.mu.Lock()
			status := h.carryOut(o)
			e.mu.Unlock()
			e.r.add("the late join of %s at %s is carried out: %d", o.Group, h.id, status)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := h.carryOut(o)
	e.mu.Unlock()
	e.r.add("order to %s: %s of %s%s: %d", h.id, o.Op, o.Group, o.Model, status)
	w.WriteHeader(status)
}

// carryOut carries an order out and returns the status. The caller holds the lock.
func (h *engineHost) carryOut(o wireOrder) int {
	if o.Fence < h.fence {
		return http.StatusPreconditionFailed
	}
	h.fence = o.Fence
	here := h.seat != nil && h.seat.Name == o.Group && h.seat.Epoch == o.Epoch
	switch o.Op {
	case "join":
		return h.join(o, here)
	case "open":
		switch {
		case here && h.seat.State == "open":
			return http.StatusOK
		case !here || h.seat.Rank != 0 || h.seat.State != "ready":
			return http.StatusConflict
		}
		h.later(formTime, h.seat, func(s *seat) { s.State = "open" })
		return http.StatusAccepted
	case "leave":
		if !here {
			return http.StatusConflict
		}
		h.seat = nil
		h.report()
		return http.StatusOK
	case "stage":
		h.engines.after(h.engines.loadTime(), func() {
			h.staged = []string{o.Model}
			h.report()
		})
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

// join takes a membership, and notes if the host's group has an open head. The caller holds the lock.
func (h *engineHost) join(o wireOrder, here bool) int {
	switch {
	case o.Epoch < h.highestEpoch, here && !slices.Equal(h.seat.members, o.Members):
		return http.StatusPreconditionFailed
	case here:
		return http.StatusOK
	}
	if h.seat != nil {
		if head := h.engines.hosts[h.seat.members[0]]; head.seat != nil && head.seat.Name == h.seat.Name && (head.seat.State == "open" || head.seat.State == "closing") {
			h.engines.twice = append(h.engines.twice, fmt.Sprintf("%s takes a join of %s while it is in %s, whose head %s is %s", h.id, o.Group, h.seat.Name, head.id, head.seat.State))
		}
	}
	wait := h.engines.loadTime()
	switch {
	case h.lastModel == o.Model:
		wait = rejoinTime
	case slices.Contains(h.staged, o.Model):
		wait = warmTime
	}
	h.highestEpoch, h.lastModel = o.Epoch, o.Model
	h.seat = &seat{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, h.id), State: "joining", members: o.Members}
	h.report()
	h.later(wait, h.seat, func(s *seat) {
		s.State, h.staged = "ready", []string{o.Model}
	})
	return http.StatusAccepted
}

// later changes a seat after a time if the host still has it. The caller holds the lock.
func (h *engineHost) later(wait time.Duration, s *seat, change func(*seat)) {
	h.engines.after(wait, func() {
		if h.seat == s {
			change(s)
			h.report()
		}
	})
}

// after calls a function with the lock after a time.
func (e *engines) after(wait time.Duration, f func()) {
	time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		f()
	})
}

// loadTime returns how long a load takes, a tenth before the first request. The caller holds the lock.
func (e *engines) loadTime() time.Duration {
	if e.traffic {
		return loadTime
	}
	return loadTime / 10
}

// whole reports whether all members of the host's group are in it. The caller holds the lock.
func (h *engineHost) whole() bool {
	return !slices.ContainsFunc(h.seat.members, func(id string) bool {
		m := h.engines.hosts[id]
		return m.seat == nil || m.seat.Name != h.seat.Name
	})
}

// stream serves a request at the head of an open group. One that stands still is broken after a while.
func (h *engineHost) stream(w http.ResponseWriter, r *http.Request) {
	e := h.engines
	e.mu.Lock()
	e.traffic = true
	s := h.seat
	open := s != nil && s.Rank == 0 && s.State == "open"
	whole := open && h.whole()
	e.mu.Unlock()
	if !open {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !whole {
		time.Sleep(stallTime)
		e.mu.Lock()
		s.State = "broken"
		h.report()
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Response-Signature", signatureOf(h.id))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", i, r.Header.Get("X-Attempt-Id"), i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}
