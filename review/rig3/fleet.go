package rig3

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site nile-portage that the cases use.
const (
	ContactTime   = 3 * time.Second
	DrainTime     = 2 * time.Second
	ApplyTime     = 2 * time.Second
	WarmupFactor  = 1.5
	WarmupSlack   = 5
	RestartPause  = 500 * time.Millisecond // of a process that was killed
	heartbeatTime = 1200 * time.Millisecond
	settings      = `role=%s
machine_class=%s
serves=%s
region=cairo
zones.cairo-a=cairo
zones.cairo-b=cairo
zones.cairo-c=cairo
bootstrap=%t
limits.cores=1
limits.memory_mb=%d
heartbeat_ms=1200
fault_tolerance.machines=1
fault_tolerance.zones=1
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_burst=136
bounds.warmup_factor=1.5
bounds.warmup_slack=5
bounds.evacuate_ms=5000
bounds.stall_ms=5000
bounds.fencing_enforced=true
bounds.ceiling_window_s=5
`
)

// Zones are the failure domains of the deployment.
var Zones = []string{"cairo-a", "cairo-b", "cairo-c"}

// Process is one program of the deployment.
type Process struct {
	Name, program, settings string
	log                     *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

// Fleet is a running deployment.
type Fleet struct {
	Cores, Entries []*Process
	Record         *Record

	dir     string
	net     int // third byte of all addresses
	port    int
	stopped sync.Once
}

// NewFleet starts coordinators and entry hosts. Its processes run in the present folder, the repository's root. With an
// error it returns those that were started, to be stopped.
func NewFleet(record *Record, cores, entries int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: record, dir: dir, net: 20 + rand.IntN(200)}
	if err := f.choosePort(cores, entries); err != nil {
		return nil, err
	}
	for i := range cores {
		p, err := f.newProcess(fmt.Sprintf("core-%s-%d", Zones[i%3], i), "sesame-core", f.coreIP(i), i)
		if err != nil {
			return nil, err
		}
		f.Cores = append(f.Cores, p)
	}
	for i := range entries {
		p, err := f.newProcess(fmt.Sprintf("frontend-%s-%d", Zones[i%3], i), "sesame-entry", f.entryIP(i), i)
		if err != nil {
			return nil, err
		}
		f.Entries = append(f.Entries, p)
	}
	for _, p := range append(append([]*Process{}, f.Cores...), f.Entries...) {
		if err := p.Start(); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) coreIP(i int) string  { return fmt.Sprintf("127.%d.1.%d", f.net, 10+i) }
func (f *Fleet) entryIP(i int) string { return fmt.Sprintf("127.%d.2.%d", f.net, 10+i) }

// RunnerIP is the address of all runners.
func (f *Fleet) RunnerIP() string { return fmt.Sprintf("127.%d.3.1", f.net) }

// CoreURL returns the URL of a coordinator for the operator and runners.
func (f *Fleet) CoreURL(i int) string { return fmt.Sprintf("http://%s:%d", f.coreIP(i), f.port) }

// EntryAddress returns the host:port of an entry host for callers.
func (f *Fleet) EntryAddress(i int) string { return fmt.Sprintf("%s:%d", f.entryIP(i), f.port+1) }

// choosePort finds ports that are free on all addresses.
func (f *Fleet) choosePort(cores, entries int) error {
	var ips []string
	for i := range cores {
		ips = append(ips, f.coreIP(i))
	}
	for i := range entries {
		ips = append(ips, f.entryIP(i))
	}
	for range 50 {
		f.port = 20000 + 20*rand.IntN(500)
		if portsFree(ips, f.port, 10) {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func portsFree(ips []string, first, count int) bool {
	for _, ip := range ips {
		for p := range count {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *Fleet) newProcess(name, program, ip string, i int) (*Process, error) {
	role, serves, memory := "entry", "frontend", 284
	if program == "sesame-core" {
		role, serves, memory = "coordinator", "control_plane", 280
	}
	text := fmt.Sprintf(settings, role, map[string]string{"entry": "frontend", "coordinator": "core"}[role], serves, true, memory)
	var seeds []string
	for c := range 3 {
		seeds = append(seeds, strings.TrimPrefix(f.CoreURL(c), "http://"))
	}
	text += fmt.Sprintf("node_name=%s\nip=%s\nzone=%s\ninternal_port_range=%d,%d\nseeds=%s\n", name, ip, Zones[i%3], f.port+3, f.port+9, strings.Join(seeds, ","))
	if role == "coordinator" {
		text += fmt.Sprintf("listen.control_plane=%s:%d\ndata_dir=%s\n", ip, f.port, filepath.Join(f.dir, name))
	} else {
		text += fmt.Sprintf("listen.frontend=%s:%d\nlisten.ready=%s:%d\n", ip, f.port+1, ip, f.port+2)
	}
	p := &Process{Name: name, program: "target/" + program, settings: filepath.Join(f.dir, name+".conf")}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	p.log, err = os.Create(filepath.Join(f.dir, name+".log"))
	return p, err
}

// Start starts the process.
func (p *Process) Start() error {
	cmd := exec.Command(p.program)
	cmd.Env = append(os.Environ(), "SESAMEMUX_CONFIG="+p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait()
	}
}

// KillAndRestart kills processes at the same moment and starts them again after a pause.
func KillAndRestart(ps []*Process, pause time.Duration) error {
	for _, p := range ps {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range ps {
		p.Kill()
	}
	time.Sleep(pause)
	for _, p := range ps {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all processes and removes their files.
func (f *Fleet) Stop() {
	f.stopped.Do(func() {
		for _, p := range append(append([]*Process{}, f.Cores...), f.Entries...) {
			p.Kill()
			_ = p.log.Close()
		}
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(f.dir)
		}
	})
}

// Put sends a manifest until it is acknowledged.
func (f *Fleet) Put(manifest any, within time.Duration) error {
	raw, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 3 * time.Second}
	var last error
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		last = put(client, f.CoreURL(i%len(f.Cores))+"/api/config", raw)
		if last == nil {
			f.Record.Printf("manifest acknowledged")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("manifest was not acknowledged: %w", last)
}

func put(client *http.Client, url string, body []byte) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return nil
}

// AwaitReady waits until all entry hosts say that they are ready.
func (f *Fleet) AwaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(within)
	for i := range f.Entries {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", f.entryIP(i), f.port+2))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", f.Entries[i].Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
