package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/coordinator"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/formation"
	"github.com/sesamemux/sesamemux/pkg/logging"
	"github.com/sesamemux/sesamemux/pkg/memconn"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

const (
	restartTime  = 3 * time.Second        // from the crash of an upstream until it is back
	announceTime = 400 * time.Millisecond // between announcements of an upstream
)

// testFleet is a deployment with real coordinators and entry hosts, simulated upstreams, an
// in-memory network and virtual time. A request whose body starts with "crash" ends each upstream
// that runs it. So does a stream whose prompt holds a part of which the ID starts with badPart, when
// its answer begins. Before soundUntil they complete. A request whose body contains "unframed" is answered without a length.
type testFleet struct {
	t       *testing.T
	network *memconn.Network
	rand    *rand.Rand
	cores   []*coreProcess
	entries []*entryProcess
	hosts   []*simulatedHost

	log      io.Writer // of all processes; nil: none
	mu       sync.Mutex
	arrivals []arrival
	requests int               // sent by clients
	senders  map[string]string // entry host by attempt
	faults   []fault

	crash       *crashShape            // how requests whose body begins with "crash shaped" end upstreams
	soundUntil  time.Time              // until then no request and no part ends upstreams
	prefill     time.Duration          // from the arrival of a request with a bad part until its answer begins
	partCrashes map[string][]time.Time // ends of upstreams under a bad part, by its ID
	partSends   map[string][]arrival   // runs of requests with a bad part, by its ID
}

// badPart begins the ID of a part that ends upstreams.
const badPart = "bad"

// fault is a disturbance of a process.
type fault struct {
	process    string
	began, end time.Time
}

// arrival is a request that began to run at an upstream.
type arrival struct {
	at       time.Time
	key      string // identifies the request over all its arrivals
	attempt  string
	upstream string
	crashed  bool
}

type coreProcess struct {
	name    string
	dir     string
	fault   chan struct{} // full while a fault is played; waiting for a mutex would stop virtual time
	c       atomic.Pointer[coordinator.Coordinator]
	server  *rpc.Server
	stop    context.CancelFunc
	stopped *sync.WaitGroup
}

type entryProcess struct {
	name    string
	fault   chan struct{} // full while a fault is played; waiting for a mutex would stop virtual time
	g       atomic.Pointer[Gateway]
	server  *rpc.Server
	relays  *http.Server
	stop    context.CancelFunc
	stopped *sync.WaitGroup
}

// fleetSize is the size of a testFleet.
type fleetSize struct{ entries, plain, engines int }

func newTestFleet(t *testing.T, seed uint64, size fleetSize) *testFleet {
	f := &testFleet{t: t, network: memconn.New(time.Millisecond), rand: rand.New(rand.NewPCG(seed, 1)), senders: map[string]string{}, prefill: 120 * time.Millisecond,
		partCrashes: map[string][]time.Time{}, partSends: map[string][]arrival{}}
	if *crashLog != "" {
		out, err := os.Create(*crashLog)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = out.Close() })
		f.log = out
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		f.cores = append(f.cores, &coreProcess{name: name, dir: t.TempDir(), fault: make(chan struct{}, 1)})
	}
	for _, p := range f.cores {
		f.startCore(p, true)
	}
	for i := range size.entries {
		p := &entryProcess{name: fmt.Sprintf("e%d", i), fault: make(chan struct{}, 1)}
		f.entries = append(f.entries, p)
		f.startEntry(p)
	}
	for i := range size.plain + size.engines {
		h := &simulatedHost{fleet: f, name: fmt.Sprintf("h%d", i), zone: fmt.Sprintf("z%d", i%3), service: "plain"}
		if i >= size.plain {
			h.service, h.domain = "models", fmt.Sprintf("d%d", i%2)
		}
		f.hosts = append(f.hosts, h)
		h.start()
	}
	t.Cleanup(f.close)
	for f.cores[0].c.Load().PutDocument(t.Context(), []byte("document")) != nil {
		time.Sleep(100 * time.Millisecond)
	}
	f.await("entry hosts to be ready", func() bool {
		return !slices.ContainsFunc(f.entries, func(p *entryProcess) bool { ok, _ := p.g.Load().Ready(); return !ok })
	})
	f.await("all models to be served", func() bool {
		return size.engines == 0 || f.send(0, clientRequest{kind: "stream", body: "warm"}).status == 200
	})
	time.Sleep(5 * time.Second)
	return f
}

func (f *testFleet) logger(process string) *log.Logger {
	if f.log == nil {
		return logging.Discard()
	}
	return logging.New(f.log, logging.Options{Process: process})
}

func (f *testFleet) await(what string, done func() bool) {
	f.t.Helper()
	for range 300 {
		if done() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatalf("gave up waiting for %s", what)
}

func (f *testFleet) close() {
	for _, h := range f.hosts {
		h.stop(true)
	}
	for _, p := range f.entries {
		f.killEntry(p)
	}
	for _, p := range f.cores {
		f.killCore(p)
	}
	time.Sleep(time.Minute) // let waiting calls end
}

func (f *testFleet) startCore(p *coreProcess, first bool) {
	p.server, p.stopped = rpc.NewServer(), &sync.WaitGroup{}
	c := coordinator.New(coordinator.Config{
		Name: p.name, Zone: p.name, PeerAddress: p.name + ":1", OperatorAddress: p.name + ":2", Seeds: []string{"c1:1", "c2:1", "c3:1"}, FirstStart: first,
		DataDir: p.dir, Voters: 3, LoadWindow: 5 * time.Second, Decode: decodeFleetSet, Engines: simulatedEngines{f},
		Dial: f.network.Dialer(p.name), Clock: clock.NewMonotonic(), Logger: f.logger(p.name),
	})
	c.Register(p.server)
	p.c.Store(c)
	l := f.network.Listen(p.name, p.name+":1")
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.stopped.Go(func() { _ = p.server.Serve(l) })
	p.stopped.Go(func() { c.Run(ctx) })
}

func (f *testFleet) killCore(p *coreProcess) {
	f.network.Kill(p.name)
	p.server.Close()
	p.stop()
	p.stopped.Wait()
}

func (f *testFleet) startEntry(p *entryProcess) {
	p.server, p.stopped = rpc.NewServer(), &sync.WaitGroup{}
	g := New(Config{
		Name: p.name, Zone: "z0", Coordinators: []string{"c1:1", "c2:1", "c3:1"}, PlacerAddress: p.name + ":9", RelayAddress: p.name + ":10", Headers: testHeaders,
		Decode: decodeFleetSet, RetryRatio: 0.2, RetryBurst: 100, ColdFactor: 1, ColdSlack: 100,
		Dial: f.network.Dialer(p.name), DialBackend: f.network.Dialer(p.name), Clock: clock.NewMonotonic(), Logger: f.logger(p.name),
	})
	g.Register(p.server)
	p.g.Store(g)
	l, relayed := f.network.Listen(p.name, p.name+":9"), f.network.Listen(p.name, p.name+":10")
	p.relays = &http.Server{Handler: g.RelayHandler(), ErrorLog: logging.Discard().StandardLog()}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.stopped.Go(func() { _ = p.server.Serve(l) })
	p.stopped.Go(func() { _ = p.relays.Serve(relayed) })
	p.stopped.Go(func() { g.Run(ctx) })
}

func (f *testFleet) killEntry(p *entryProcess) {
	f.network.Kill(p.name)
	p.server.Close()
	_ = p.relays.Close()
	p.stop()
	p.stopped.Wait()
}

// decodeFleetSet returns testSet with an engine whose groups are quick to form. A number at the end of
// the document is its version.
func decodeFleetSet(raw []byte) (*catalog.Set, error) {
	set := testSet()
	if _, err := fmt.Sscanf(string(raw), "document %d", &set.Version); err != nil {
		set.Version = 1
	}
	e := set.Services[1].Engine
	e.Slots, e.LoadsPerS, e.ConcurrentLoads, e.FormationTime, e.MeanPromptTokens, e.MeanAnswerTokens = 8, 10, 10, 100*time.Millisecond, 100, 50
	e.Models = []catalog.Model{{Name: "m", GroupSize: 1, Share: 1, Pace: 1, LoadTime: time.Second, WarmTime: 100 * time.Millisecond}}
	set.Services[1].WarmupPerSecond = 0
	return set, nil
}

// clientRequest is what a client asks for. Requests of the same kind, path and body are the same
// request.
type clientRequest struct {
	kind        string // see testSet
	body        string
	parts       string // of the prompt; see Headers.PromptParts
	lastEventID string
	limit       time.Duration // that it names; 0: 3 s
	leaves      time.Duration // after which the client leaves; 0: it stays
}

func (r clientRequest) key() string { return r.kind + "|" + r.body }

// send sends one attempt to an entry host.
func (f *testFleet) send(entry int, c clientRequest) *recorder {
	f.mu.Lock()
	f.requests++
	id := fmt.Sprintf("a-%d", f.requests)
	f.senders[id] = f.entries[entry].name
	f.mu.Unlock()
	path := "/" + c.kind + "/1"
	ctx, cancel := clientContext(c)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://shop.example"+path, strings.NewReader(c.body))
	if err != nil {
		f.t.Error(err)
		return &recorder{header: http.Header{}}
	}
	limit := c.limit
	if limit == 0 {
		limit = 3 * time.Second
	}
	r.RequestURI, r.Host = path, "shop.example"
	for k, v := range map[string]string{
		testHeaders.Attempt: id, testHeaders.Deadline: fmt.Sprint(limit.Milliseconds()), "Authorization": "Bearer key-1",
		testHeaders.Model: "m", testHeaders.TokenCounts: "100,50", testHeaders.LastEventID: c.lastEventID, testHeaders.PromptParts: c.parts,
	} {
		r.Header.Set(k, v)
	}
	w := serveRecorded(f.entries[entry].g.Load(), r)
	f.assertNotShort(c, w)
	return w
}

// begin records that a request begins to run.
func (f *testFleet) begin(key, attempt, upstream string, crashes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if crashes && f.log != nil {
		_, _ = fmt.Fprintf(f.log, "time=%s CRASH %s attempt=%s upstream=%s\n", time.Now().UTC().Format(time.RFC3339Nano), key, attempt, upstream)
	}
	f.arrivals = append(f.arrivals, arrival{time.Now(), key, attempt, upstream, crashes})
}

// crashes returns when a request ended upstreams, and all its arrivals.
func (f *testFleet) crashes(key string) (crashes []time.Time, arrivals []arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.key != key {
			continue
		}
		arrivals = append(arrivals, a)
		if a.crashed {
			crashes = append(crashes, a.at)
		}
	}
	return crashes, arrivals
}

// disturb plays a fault of a process and records when.
func (f *testFleet) disturb(process string, play func()) {
	began := time.Now()
	play()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fault{process, began, time.Now()})
}

// inTouch reports whether the sender of an arrival and all coordinators were undisturbed for
// contactTime before it. Only then does the bound on repeats hold.
func (f *testFleet) inTouch(a arrival) bool {
	f.mu.Lock()
	sender := f.senders[a.attempt]
	f.mu.Unlock()
	return f.hostInTouch(sender, a.at)
}

// hostInTouch is inTouch for an entry host at a time.
func (f *testFleet) hostInTouch(entry string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.faults {
		concerns := d.process == entry || strings.HasPrefix(d.process, "c")
		if concerns && !d.began.After(at) && d.end.After(at.Add(-contactTime)) {
			return false
		}
	}
	return true
}

// simulatedHost is the host of an upstream. Each start of its process is a new incarnation.
type simulatedHost struct {
	fleet   *testFleet
	name    string
	zone    string
	service string
	domain  string

	mu     sync.Mutex
	record fleet.Upstream
	life   int
	up     bool
	limit  string        // requests a second that it names in its answers; empty if none
	retire bool          // it is not started again
	pause  string        // Retry-After of its answers, 503, to all requests; empty if it takes them
	proves bool          // with pause: its answers say that the request was not run
	leaves bool          // it says in its answers that it leaves
	ending chan struct{} // closed at the end of the process

	notices noticeLog
}

func (h *simulatedHost) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.retire {
		return
	}
	h.life++
	h.up = true
	h.ending = make(chan struct{})
	h.pause, h.leaves = "", false
	h.record = fleet.Upstream{
		ID: fmt.Sprintf("%s-%d", h.name, h.life), Service: h.service, Address: h.name + ":80", Zone: h.zone, FabricDomain: h.domain,
		StartedMS: time.Now().UnixMilli(), Slots: 8, State: fleet.Ready, StagedModels: h.record.StagedModels,
	}
	l := h.fleet.network.Listen(h.name, h.name+":80")
	go h.accept(l, h.record.ID)
	go h.announceLoop(h.ending)
}

// isSoundYet reports whether bad requests and parts complete as others do.
func (f *testFleet) isSoundYet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.soundUntil)
}

// turnBadIn lets bad requests and parts complete for a time.
func (f *testFleet) turnBadIn(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.soundUntil = time.Now().Add(d)
}

// crash ends the process. It is back after restartTime.
func (h *simulatedHost) crash() { h.end() }

// end is crash. It reports whether the process was running.
func (h *simulatedHost) end() bool {
	ended := h.stop(false)
	if ended {
		time.AfterFunc(h.fleet.restartTime(), h.start)
	}
	return ended
}

// runBadPart ends the process when the answer to a request with a bad part begins.
func (h *simulatedHost) runBadPart(part, attempt, id string) {
	f := h.fleet
	f.mu.Lock()
	f.partSends[part] = append(f.partSends[part], arrival{at: time.Now(), attempt: attempt, upstream: id})
	f.mu.Unlock()
	time.Sleep(f.prefill)
	h.mu.Lock()
	same := h.record.ID == id
	h.mu.Unlock()
	if same && h.end() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.partCrashes[part] = append(f.partCrashes[part], time.Now())
	}
}

// badPartOf returns the ID of the bad part of a prompt; empty if there is none.
func badPartOf(parts string) string {
	for part := range strings.SplitSeq(parts, ",") {
		if id, _, _ := strings.Cut(part, ":"); strings.HasPrefix(id, badPart) {
			return id
		}
	}
	return ""
}

// exit ends the process like crash, but its connections are closed instead of reset.
func (h *simulatedHost) exit() {
	if h.shutDown(false, h.fleet.network.Exit) {
		time.AfterFunc(restartTime, h.start)
	}
}

func (h *simulatedHost) stop(retire bool) bool { return h.shutDown(retire, h.fleet.network.Kill) }

// shutDown ends the process if it runs, and its sockets with closeSockets.
func (h *simulatedHost) shutDown(retire bool, closeSockets func(host string)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retire = h.retire || retire
	if !h.up {
		return false
	}
	h.up = false
	close(h.ending)
	closeSockets(h.name)
	return true
}

func (h *simulatedHost) announceLoop(ending chan struct{}) {
	for {
		h.announce()
		select {
		case <-ending:
			return
		case <-time.After(announceTime):
		}
	}
}

func (h *simulatedHost) announce() {
	h.mu.Lock()
	h.record.Sequence++
	u := h.record
	up := h.up
	h.mu.Unlock()
	for _, p := range h.fleet.cores {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := p.c.Load().Announce(ctx, u)
		cancel()
		if err == nil || !up {
			return
		}
	}
}

func (h *simulatedHost) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go h.serve(c, id)
	}
}

func (h *simulatedHost) serve(c net.Conn, id string) {
	c = &limitNamingConn{Conn: c, host: h}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !h.run(c, r, id, string(body)) {
			return
		}
	}
}

// run answers a request. It returns whether the connection stays open.
func (h *simulatedHost) run(c net.Conn, r *http.Request, id, body string) bool {
	attempt := r.Header.Get(testHeaders.Attempt)
	if isHealthCheck(r) {
		answerHealthCheck(c, r, id)
		return true
	}
	if r.Header.Get(testHeaders.Incarnation) != id {
		return fixedAnswer(http.StatusMisdirectedRequest, "", "other")(c, r, attempt)
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	h.mu.Lock()
	leaves := h.leaves
	h.mu.Unlock()
	h.notices.arrived(c.RemoteAddr().String(), id, leaves)
	if paused := h.answerPaused(c, attempt, id); paused {
		return true
	}
	time.Sleep(20 * time.Millisecond)
	sound := h.fleet.isSoundYet()
	crashes := !sound && strings.HasPrefix(body, "crash")
	h.fleet.begin(clientRequest{kind: kind, body: body}.key(), attempt, id, crashes)
	if part := badPartOf(r.Header.Get(testHeaders.PromptParts)); part != "" && !sound {
		h.runBadPart(part, attempt, id)
		return false
	}
	if crashes && strings.HasPrefix(body, "crash shaped") {
		h.runShaped(c, r, attempt, id)
		return false
	}
	if h.runUnanswered(body) {
		return false
	}
	if strings.Contains(body, "unframed") {
		h.answerUnframed(c, r, attempt, kind, crashes)
		return false
	}
	if crashes && kind != "stream" {
		h.crash()
		return false
	}
	if strings.HasPrefix(body, "crash silently") {
		_ = streamFrom(10, 1, "s", func(net.Conn) { h.goDark() })(c, r, attempt)
		return false
	}
	if kind != "stream" {
		return fixedAnswer(200, "X-Sig: s\r\n", "fine")(c, r, attempt)
	}
	if crashes {
		_ = streamFrom(10, 1, "s", func(net.Conn) { h.crash() })(c, r, attempt)
		return false
	}
	if strings.HasPrefix(body, "long") {
		return streamFrom(100, 100, "s", nil)(c, r, attempt)
	}
	return streamFrom(10, 10, "s", nil)(c, r, attempt)
}

// simulatedEngines carries out orders at the hosts of a testFleet.
type simulatedEngines struct{ fleet *testFleet }

func (e simulatedEngines) Order(_ context.Context, o formation.Order, _ uint64) (formation.OrderResult, error) {
	for _, h := range e.fleet.hosts {
		if h.carryOut(o) {
			go h.announce()
			return formation.Accepted, nil
		}
	}
	return formation.Rejected, eris.Errorf("%s is not there", o.Host.ID)
}

func (h *simulatedHost) carryOut(o formation.Order) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up || h.record.ID != o.Host.ID {
		return false
	}
	rank := slices.Index(o.Members, h.record.ID)
	switch o.Kind {
	case formation.Join:
		h.record.Assignment = &fleet.Assignment{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: fleet.AssignmentReady}
		h.record.StagedModels = []string{o.Model}
	case formation.Open:
		h.record.Assignment = &fleet.Assignment{Group: o.Group, Epoch: o.Epoch, State: fleet.AssignmentOpen}
	case formation.Leave:
		h.record.Assignment = nil
	case formation.Stage:
		h.record.StagedModels = []string{o.Model}
	}
	return true
}

func (e simulatedEngines) Probe(_ context.Context, u fleet.Upstream) (formation.ProbeResult, error) {
	for _, h := range e.fleet.hosts {
		h.mu.Lock()
		there := h.up && h.record.ID == u.ID
		h.mu.Unlock()
		if there {
			return formation.Answered, nil
		}
	}
	return formation.Unreachable, eris.New("no answer")
}

// client sends a request and, if it is not served, repeats it once at another entry host as its
// answer says.
func (f *testFleet) client(c clientRequest) *recorder {
	w := f.send(f.randomEntry(), c)
	if w.status == 200 && !w.cut || c.kind == "once" && w.status != http.StatusServiceUnavailable {
		return w
	}
	wait := time.Second
	if d, err := time.ParseDuration(w.header.Get("Retry-After") + "s"); err == nil {
		wait = min(wait, d)
	}
	time.Sleep(wait)
	if i := bytes.LastIndex(w.body.Bytes(), []byte("id: ")); c.kind == "stream" && i >= 0 {
		_, _ = fmt.Sscan(string(w.body.Bytes()[i+4:]), &c.lastEventID)
	}
	return f.send(f.randomEntry(), c)
}

func (f *testFleet) randomEntry() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.IntN(len(f.entries))
}

// goDark cuts a host off from everything. Its process ends unnoticed, and is back after restartTime.
func (h *simulatedHost) goDark() {
	h.mu.Lock()
	up := h.up
	if up {
		h.up = false
		close(h.ending)
	}
	h.mu.Unlock()
	if !up {
		return
	}
	var others []string
	for _, p := range h.fleet.cores {
		others = append(others, p.name)
	}
	for _, p := range h.fleet.entries {
		others = append(others, p.name)
	}
	h.fleet.network.Partition([]string{h.name}, others)
	time.AfterFunc(h.fleet.restartTime(), func() {
		h.fleet.network.Kill(h.name)
		h.fleet.heal(h.name, others)
		h.start()
	})
}

// heal ends the cuts between a process and others.
func (f *testFleet) heal(name string, others []string) {
	for _, o := range others {
		f.network.Heal(name, o)
		f.network.Heal(o, name)
	}
}

// withheld returns how many requests the quarantine did not let run, over all entry hosts.
func (f *testFleet) withheld() int {
	f.t.Helper()
	sum := 0
	for outcome, n := range f.counter("sesame_entry_quarantine_decisions_total") {
		if outcome != "allowed" {
			sum += n
		}
	}
	return sum
}

// counter returns a counter with one label by its values, over all entry hosts.
func (f *testFleet) counter(name string) map[string]int {
	f.t.Helper()
	counts := map[string]int{}
	for _, p := range f.entries {
		families, err := p.g.Load().Metrics().Registry.Gather()
		if err != nil {
			f.t.Fatal(err)
		}
		for _, family := range families {
			if family.GetName() != name {
				continue
			}
			for _, m := range family.GetMetric() {
				counts[m.GetLabel()[0].GetValue()] += int(m.GetCounter().GetValue())
			}
		}
	}
	return counts
}
