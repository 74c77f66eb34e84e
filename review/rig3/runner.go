package rig3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Runner is a stand-in for a server of a plain service. Each life has an address, which it keeps.
type Runner struct {
	fleet   *Fleet
	Service string
	Zone    string
	Slots   int
	// Serve answers a request that is to be run. The connection is the runner's own.
	Serve func(life string, w http.ResponseWriter, r *http.Request)
	// Extra returns further fields of a heartbeat; nil: none.
	Extra func() map[string]any

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	coldTill time.Time
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	next     string // coordinator for the next heartbeat
	beat     chan struct{}
	quit     chan struct{}
	blockers []net.Conn
}

// NewRunner returns a runner that is not started.
func (f *Fleet) NewRunner(service, zone string, slots int) *Runner {
	return &Runner{fleet: f, Service: service, Zone: zone, Slots: slots, beat: make(chan struct{}, 1), quit: make(chan struct{})}
}

// Start begins a new life, cold for a time.
func (r *Runner) Start(id string, cold time.Duration) error {
	where := r.address
	if where == "" {
		where = r.fleet.RunnerIP() + ":0"
	}
	raw, err := net.Listen("tcp", where)
	if err != nil {
		return err
	}
	r.mu.Lock()
	first := r.address == ""
	r.listener = raw
	r.address = raw.Addr().String()
	r.id, r.born, r.sequence, r.state, r.down = id, time.Now().UnixMilli(), 0, "ready", false
	r.coldTill = time.Now().Add(cold)
	r.conns = map[net.Conn]bool{}
	server := &http.Server{Handler: r.handler(id)}
	tracked := &trackedListener{Listener: raw, runner: r, conns: r.conns}
	r.mu.Unlock()
	go func() { _ = server.Serve(tracked) }()
	r.fleet.Record.Printf("runner %s starts at %s, cold for %v", id, r.address, cold)
	if first {
		go r.heartbeats()
	} else {
		r.Beat()
	}
	return nil
}

// trackedListener keeps the connections of one life.
type trackedListener struct {
	net.Listener
	runner *Runner
	conns  map[net.Conn]bool
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.runner.mu.Lock()
		l.conns[c] = true
		l.runner.mu.Unlock()
	}
	return c, err
}

func (r *Runner) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if want := q.Header.Get("X-Expect-Instance"); want != "" && want != id {
			w.Header().Set("X-Attempt-Id", q.Header.Get("X-Attempt-Id"))
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if q.URL.Path == "/healthz" {
			w.Header().Set("X-Instance-Id", id)
			r.mu.Lock()
			cold := time.Until(r.coldTill)
			r.mu.Unlock()
			if cold > 0 {
				w.Header().Set("X-Warmup-Ms", fmt.Sprint(cold.Milliseconds()))
			}
			w.WriteHeader(http.StatusOK)
			return
		}
		r.Serve(id, w, q)
	})
}

// Beat sends a heartbeat soon.
func (r *Runner) Beat() {
	select {
	case r.beat <- struct{}{}:
	default:
	}
}

func (r *Runner) heartbeats() {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ; i++ {
		wait := heartbeatTime
		fields := map[string]any{}
		if r.Extra != nil {
			fields = r.Extra()
		}
		r.mu.Lock()
		down, url := r.down, r.next
		r.sequence++
		cold := max(time.Until(r.coldTill).Milliseconds(), 0)
		for name, value := range map[string]any{
			"service": r.Service, "address": r.address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": r.state,
			"warmup_left_ms": cold, "sequence": r.sequence, "born": r.born,
		} {
			fields[name] = value
		}
		body, _ := json.Marshal(fields)
		id := r.id
		r.mu.Unlock()
		if url == "" {
			url = r.fleet.CoreURL(i % len(r.fleet.Cores))
		}
		if !down {
			next, err := heartbeat(client, url+"/api/instances/"+id, body)
			r.mu.Lock()
			r.next = next
			r.mu.Unlock()
			if err != nil {
				wait = 50 * time.Millisecond
			}
		}
		select {
		case <-r.quit:
			return
		case <-r.beat:
		case <-time.After(wait):
		}
	}
}

// heartbeat sends one heartbeat and returns the URL for the next one.
func heartbeat(client *http.Client, url string, body []byte) (next string, err error) {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Address string `json:"heartbeat_addr"`
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d", resp.StatusCode)
	}
	if json.NewDecoder(resp.Body).Decode(&answer) == nil && answer.Address != "" {
		return "http://" + answer.Address, nil
	}
	return "", nil
}

// Address returns the host:port of the runner.
func (r *Runner) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}

// Crash ends the present life: its process is gone. With reset its connections are reset, otherwise they end
// as the kernel ends those of a killed process that has read all.
func (r *Runner) Crash(reset bool) {
	r.mu.Lock()
	r.down = true
	listener, conns := r.listener, maps.Clone(r.conns)
	id := r.id
	r.mu.Unlock()
	_ = listener.Close()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.fleet.Record.Printf("runner %s has ended", id)
}

// GoDark makes the runner's host unreachable: its heartbeats end, its connections end as those of a killed process
// if closing is set and stay silent otherwise, and new ones hang, since nobody answers their first packet. For
// that it listens with a queue that is full.
func (r *Runner) GoDark(closing bool) error {
	r.mu.Lock()
	r.down = true
	listener, conns := r.listener, maps.Clone(r.conns)
	address, id := r.address, r.id
	r.mu.Unlock()
	_ = listener.Close()
	fd, err := listenFull(address)
	if err != nil {
		return err
	}
	var blockers []net.Conn
	for range 3 {
		if c, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			blockers = append(blockers, c)
		}
	}
	r.mu.Lock()
	r.blockers = append(blockers, fd)
	r.mu.Unlock()
	if closing {
		for c := range conns {
			_ = c.Close()
		}
	}
	r.fleet.Record.Printf("the host of runner %s is dark", id)
	return nil
}

// Light ends the darkness. What was connected before is reset.
func (r *Runner) Light() {
	r.mu.Lock()
	blockers, conns := r.blockers, maps.Clone(r.conns)
	r.blockers = nil
	r.mu.Unlock()
	for _, c := range blockers {
		_ = c.Close()
	}
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// listenFull listens with the shortest queue of connections and accepts none.
func listenFull(address string) (*socket, error) {
	to, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	s := &socket{fd: fd}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	sa := &syscall.SockaddrInet4{Port: to.Port}
	copy(sa.Addr[:], to.IP.To4())
	if err := syscall.Bind(fd, sa); err != nil {
		return nil, err
	}
	return s, syscall.Listen(fd, 0)
}

// socket is a listening socket. Only Close is used of net.Conn.
type socket struct {
	net.Conn
	fd int
}

// Close closes the socket.
func (s *socket) Close() error { return syscall.Close(s.fd) }

// Stop ends the heartbeats.
func (r *Runner) Stop() { close(r.quit) }
