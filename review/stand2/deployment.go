package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
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

// Programs of the deploy file, relative to the root of the repository.
const (
	coordinatorProgram = "target/sesame-core"
	entryProgram       = "target/sesame-entry"
)

const (
	firstPort     = 22000
	portBlocks    = 400
	portsPerBlock = 20
	killTimeout   = 10 * time.Second
)

var zones = []string{"cairo-a", "cairo-b", "cairo-c"}

// process is a process that this program started.
type process struct {
	name    string
	command []string
	env     []string
	log     *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
}

func (p *process) start() error {
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}, p.env...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(p.ended)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end sends a signal and waits for the end of the process.
func (p *process) end(s syscall.Signal) {
	p.signal(s)
	p.signal(syscall.SIGCONT)
	timer := time.AfterFunc(killTimeout, func() { p.signal(syscall.SIGKILL) })
	defer timer.Stop()
	p.wait()
}

// wait waits until the process has ended.
func (p *process) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// deployment is a set of processes on loopback addresses.
type deployment struct {
	dir          string
	port         int // of all coordinators for operators; the next ones are for clients and for the ready check
	claim        net.Listener
	coordinators []*process
	entries      []*process

	mu     sync.Mutex
	others []*process // runners
}

func newDeployment(coordinators, entries int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir}
	if err := d.claimPorts(); err != nil {
		return nil, err
	}
	for i := range coordinators {
		p, err := d.newSystemProcess(coordinatorProgram, "core", i, coordinators)
		if err != nil {
			return nil, err
		}
		d.coordinators = append(d.coordinators, p)
	}
	for i := range entries {
		p, err := d.newSystemProcess(entryProgram, "frontend", i, coordinators)
		if err != nil {
			return nil, err
		}
		d.entries = append(d.entries, p)
	}
	return d, nil
}

// claimPorts finds a block of ports that no other deployment on this machine uses.
func (d *deployment) claimPorts() error {
	for i := range portBlocks {
		port := firstPort + (os.Getpid()+i)%portBlocks*portsPerBlock
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.9.1:%d", port))
		if err == nil {
			d.port, d.claim = port, l
			return nil
		}
	}
	return errors.New("all blocks of ports are in use")
}

func coordinatorIP(i int) string { return fmt.Sprintf("127.0.9.%d", 10+i) }
func entryIP(i int) string       { return fmt.Sprintf("127.0.9.%d", 40+i) }

func (d *deployment) coordinatorAddress(i int) string {
	return fmt.Sprintf("%s:%d", coordinatorIP(i), d.port)
}
func (d *deployment) entryAddress(i int) string { return fmt.Sprintf("%s:%d", entryIP(i), d.port+1) }

// newSystemProcess writes the settings of a process of the system, as on the users' page about deployment.
func (d *deployment) newSystemProcess(program, class string, i, coordinators int) (*process, error) {
	ip, zone := coordinatorIP(i), zones[i%len(zones)]
	if class == "frontend" {
		ip = entryIP(i)
	}
	name := fmt.Sprintf("%s-%s-%d", class, zone, i)
	var seeds []string
	for k := range coordinators {
		seeds = append(seeds, d.coordinatorAddress(k))
	}
	lines := []string{
		"node_name=" + name, "machine_class=" + class, "ip=" + ip, "zone=" + zone, "region=cairo",
		fmt.Sprintf("internal_port_range=%d,%d", d.port+3, d.port+18), "seeds=" + strings.Join(seeds, ","),
		"bootstrap=true", "limits.memory_mb=284", "limits.max_fds=4100", "discovery=registration", "heartbeat_ms=1200",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000",
		"bounds.grace_s=8", "bounds.config_apply_ms=2000", "bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_burst=136",
		"bounds.warmup_factor=1.5", "bounds.warmup_slack=5", "bounds.evacuate_ms=5000", "bounds.stall_ms=5000",
		"bounds.fencing_enforced=true", "bounds.ceiling_window_s=5", "bounds.load_burst_factor=1.1",
	}
	if class == "frontend" {
		lines = append(lines, "serves=frontend", "listen.frontend="+d.entryAddress(i), fmt.Sprintf("listen.ready=%s:%d", ip, d.port+2))
	} else {
		lines = append(lines, "serves=control_plane", "listen.control_plane="+d.coordinatorAddress(i), "data_dir="+filepath.Join(d.dir, name))
	}
	settings := filepath.Join(d.dir, name+".conf")
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	return d.newProcess(name, []string{program}, "SESAMEMUX_CONFIG="+settings)
}

func (d *deployment) newProcess(name string, command []string, env ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &process{name: name, command: command, env: env, log: log}, nil
}

func (d *deployment) start() error {
	for _, p := range append(append([]*process{}, d.coordinators...), d.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes. The logs are kept where KEEP_LOGS is set.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range append(append(append([]*process{}, d.others...), d.entries...), d.coordinators...) {
		p.end(syscall.SIGKILL)
		_ = p.log.Close()
	}
	_ = d.claim.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs are in", d.dir)
	}
}

// call sends one call of an operator to an address and returns the status.
func call(method, address, path string, body []byte) (int, error) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// order sends an operator's order to one coordinator after the other until it is acknowledged.
func (d *deployment) order(method, path string, body []byte, limit time.Duration) error {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		status, err := call(method, d.coordinatorAddress(i%len(d.coordinators)), path, body)
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status >= 400 && status < 500:
			return fmt.Errorf("%s %s is refused with %d", method, path, status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s %s is not acknowledged", method, path)
}

// manifest is an operator's document.
type manifest struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// Names in the manifests of the cases.
const (
	routeHost  = "ficu95.example"
	clientKey  = "n2ctnfzs989anu6wsjnb"
	tenantName = "hule930"
)

func newManifest(version int, routes, services []map[string]any) []byte {
	raw, _ := json.Marshal(manifest{
		Version: version, Routes: routes, Services: services,
		Limits:  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants: []map[string]any{{"name": tenantName, "api_keys": []string{clientKey}, "priority": 1}},
	})
	return raw
}
