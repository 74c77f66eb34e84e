package rig

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Zones are the failure domains of the deployment.
var Zones = []string{"sul-a", "sul-b", "sul-c"}

// Bounds of the site Colete Sul.
const (
	Contact  = 3 * time.Second
	Evacuate = 5 * time.Second
	Drain    = 2 * time.Second
)

// Process is one of the project's processes.
type Process struct {
	Name, IP, Zone string
	program        string
	settings       string
	logPath        string
	log            *os.File
	cmd            *exec.Cmd
}

// Deployment is a small deployment: coordinators and entry hosts, one after the other in the zones.
type Deployment struct {
	Cores, Entries []*Process
	dir            string
	port           int
	record         *Record
}

const portsPerDeployment = 20

// freePort returns the first port of a block that no process listens on at the deployment's addresses.
func freePort() (int, error) {
	for port := 23000; port < 30000; port += portsPerDeployment {
		free := true
		for p := port; p < port+portsPerDeployment && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", p))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no block of free ports")
}

// Start starts coordinators and entry hosts. The programs are those of the deploy file, built into target/.
func Start(record *Record, cores, entries int) (*Deployment, error) {
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{dir: dir, port: port, record: record}
	d.stopOnSignal()
	for i := range cores {
		d.Cores = append(d.Cores, &Process{Name: fmt.Sprintf("core-%d", i), IP: coreIP(i), Zone: Zones[i%len(Zones)], program: "target/sesame-core"})
	}
	for i := range entries {
		d.Entries = append(d.Entries, &Process{Name: fmt.Sprintf("frontend-%d", i), IP: fmt.Sprintf("127.31.2.%d", 10+i), Zone: Zones[i%len(Zones)], program: "target/sesame-entry"})
	}
	for _, p := range d.processes() {
		if err := d.prepare(p); err != nil {
			return nil, err
		}
	}
	for _, p := range d.processes() {
		if err := d.Launch(p); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, nil
}

// stopOnSignal ends all processes if the case itself is told to end.
func (d *Deployment) stopOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-told
		d.Stop()
		os.Exit(2)
	}()
}

// Port is the first port of the deployment.
func (d *Deployment) Port() int { return d.port }

// Attach returns a deployment that another process has started.
func Attach(record *Record, port, cores int) *Deployment {
	d := &Deployment{port: port, record: record}
	for i := range cores {
		d.Cores = append(d.Cores, &Process{Name: fmt.Sprintf("core-%d", i), IP: coreIP(i)})
	}
	return d
}

func coreIP(i int) string { return fmt.Sprintf("127.31.1.%d", 10+i) }

func (d *Deployment) processes() []*Process {
	return append(append([]*Process(nil), d.Cores...), d.Entries...)
}

// prepare writes the settings file of a process.
func (d *Deployment) prepare(p *Process) error {
	class, listen := "frontend", fmt.Sprintf("listen.frontend=%s:%d\nlisten.ready=%s:%d", p.IP, d.port+1, p.IP, d.port+2)
	data := ""
	if strings.HasSuffix(p.program, "core") {
		class, listen = "core", fmt.Sprintf("listen.control_plane=%s:%d", p.IP, d.port)
		data = "data_dir=" + filepath.Join(d.dir, p.Name)
		if err := os.MkdirAll(filepath.Join(d.dir, p.Name), 0o700); err != nil {
			return err
		}
	}
	var seeds []string
	for _, c := range d.Cores {
		seeds = append(seeds, d.CoreAddress(c))
	}
	text := fmt.Sprintf(`node_name=%s
role=%s
machine_class=%s
serves=%s
ip=%s
zone=%s
region=sul
zones.sul-a=sul
zones.sul-b=sul
zones.sul-c=sul
%s
internal_port_range=%d,%d
seeds=%s
bootstrap=true
failure_counted=%v
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=registration
entry=virtual_ip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,gangs
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.max_stretch_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_burst=132
bounds.warmup_factor=1.5
bounds.warmup_slack=5
bounds.evacuate_ms=5000
bounds.recovery_s=12
bounds.iteration_ms=120
bounds.stall_ms=5000
bounds.fencing_enforced=true
bounds.ceiling_window_s=5
bounds.load_burst_factor=1.1
config_mode=highest
%s
`, p.Name, class, class, map[string]string{"frontend": "frontend", "core": "control_plane"}[class], p.IP, p.Zone, listen,
		d.port+3, d.port+18, strings.Join(seeds, ","), class == "core", data)
	p.settings = filepath.Join(d.dir, p.Name+".conf")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return err
	}
	p.logPath = filepath.Join(d.dir, p.Name+".log")
	var err error
	p.log, err = os.Create(p.logPath)
	return err
}

// Launch starts a process.
func (d *Deployment) Launch(p *Process) error {
	p.cmd = exec.Command(p.program)
	p.cmd.Env = append(os.Environ(), "SESAMEMUX_CONFIG="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	d.record.Line("started %s, process %d", p.Name, p.cmd.Process.Pid)
	return nil
}

// Signal sends a signal to a process.
func (d *Deployment) Signal(p *Process, s syscall.Signal) {
	d.record.Say("%v to %s", s, p.Name)
	_ = p.cmd.Process.Signal(s)
}

// Kill ends a process and waits for it.
func (p *Process) Kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// Wait waits for the end of a process that was signalled.
func (p *Process) Wait() { _ = p.cmd.Wait() }

// Stop ends all processes and removes their folder, unless KEEP is set.
func (d *Deployment) Stop() {
	for _, p := range d.processes() {
		p.Kill()
		_ = p.log.Close()
	}
	if os.Getenv("KEEP") != "" {
		d.record.Say("logs are in %s", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// CoreAddress returns the address of a coordinator for runners and the operator.
func (d *Deployment) CoreAddress(p *Process) string { return fmt.Sprintf("%s:%d", p.IP, d.port) }

// EntryAddress returns the address of an entry host for requesters.
func (d *Deployment) EntryAddress(p *Process) string { return fmt.Sprintf("%s:%d", p.IP, d.port+1) }

// AwaitReady waits until all entry hosts are ready.
func (d *Deployment) AwaitReady(most time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range d.Entries {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", p.IP, d.port+2))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.Entries) {
			return nil
		}
	}
	return errors.New("the entry hosts are not ready")
}

// Leader returns the coordinator that has begun the last leadership, by the processes' own logs.
func (d *Deployment) Leader() *Process {
	var leader *Process
	last := -1
	for _, p := range d.Cores {
		raw, err := os.ReadFile(p.logPath)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			i := strings.Index(line, "leadership started")
			if i < 0 {
				continue
			}
			term := -1
			if _, after, found := strings.Cut(line, "term="); found {
				_, _ = fmt.Sscan(after, &term)
			}
			if term > last {
				last, leader = term, p
			}
		}
	}
	return leader
}
