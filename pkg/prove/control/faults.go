package control

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// rounds is how often a fault strikes in one run.
const rounds = 3

// pause lets a run go on for a random while.
func (r *run) pause() {
	time.Sleep(r.bed.between(300*time.Millisecond, 1500*time.Millisecond))
}

// killLeader kills the leader and starts it again.
func killLeader(r *run) error {
	for range rounds {
		r.pause()
		k := r.bed.leader()
		k.kill()
		time.Sleep(2 * time.Second)
		if err := k.restart(); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}

// killAllKeepers kills all keepers at once and starts them again.
func killAllKeepers(r *run) error {
	for range rounds {
		r.pause()
		for _, k := range r.bed.keepers {
			k.kill()
		}
		time.Sleep(time.Second)
		if err := r.recover(); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
	}
	return nil
}

// cutLeader cuts the leader off from everyone, silently.
func cutLeader(d time.Duration) fault {
	return func(r *run) error {
		for range rounds {
			r.pause()
			k := r.bed.leader()
			r.bed.net.Partition([]string{k.host}, r.bed.others(k.host))
			time.Sleep(d)
			r.bed.net.HealAll()
			time.Sleep(time.Second)
		}
		return nil
	}
}

// cutLeaderOneWay cuts one direction between the leader and other keepers.
func cutLeaderOneWay(outbound bool) fault {
	return func(r *run) error {
		for range rounds {
			r.pause()
			leader := r.bed.leader()
			for _, k := range r.bed.keepers {
				switch {
				case k == leader:
				case outbound:
					r.bed.net.Cut(leader.host, k.host)
				default:
					r.bed.net.Cut(k.host, leader.host)
				}
			}
			time.Sleep(4 * time.Second)
			r.bed.net.HealAll()
			time.Sleep(time.Second)
		}
		return nil
	}
}

// cutGate cuts a gate off from everyone.
func cutGate(r *run) error {
	r.pause()
	host := string(r.bed.gates[0].name)
	r.bed.net.Partition([]string{host}, r.bed.others(host))
	time.Sleep(8 * time.Second)
	r.bed.net.HealAll()
	time.Sleep(2 * time.Second)
	return nil
}

// cutGateLong cuts a gate off for as long as hosts are restarted.
func cutGateLong(r *run) error {
	host := string(r.bed.gates[0].name)
	r.bed.net.Partition([]string{host}, r.bed.others(host))
	time.Sleep(15 * time.Second)
	r.bed.net.HealAll()
	return nil
}

// cutGateFromLeader cuts a gate off from the leader alone.
func cutGateFromLeader(r *run) error {
	r.pause()
	host := string(r.bed.gates[0].name)
	r.bed.net.Partition([]string{host}, []string{r.bed.leader().host})
	time.Sleep(8 * time.Second)
	r.bed.net.HealAll()
	return nil
}

// cutGateAndKillLeader cuts a gate off and lets the leader die at once: the
// next leader does not know how long the gate's lease lasts.
func cutGateAndKillLeader(r *run) error {
	for range rounds {
		r.pause()
		host := string(r.bed.gates[0].name)
		r.bed.net.Partition([]string{host}, r.bed.others(host))
		k := r.bed.leader()
		k.kill()
		time.Sleep(5 * time.Second)
		r.bed.net.HealAll()
		if err := k.restart(); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
	}
	return nil
}

// darkDomain takes the leader's host and a gate's away at once.
func darkDomain(r *run) error {
	r.pause()
	leader := r.bed.leader().host
	gate := string(r.bed.gates[0].name)
	r.bed.net.Partition([]string{leader, gate}, r.bed.others(leader))
	r.bed.net.Partition([]string{leader, gate}, r.bed.others(gate))
	time.Sleep(10 * time.Second)
	return nil
}

// restartGate kills a gate and starts it again while a keeper is behind.
func restartGate(r *run) error {
	for range rounds {
		r.pause()
		behind := r.follower()
		r.bed.net.Partition([]string{behind.host}, keeperHostsBut(r, behind))
		time.Sleep(2 * time.Second)
		g := r.bed.gates[0]
		g.kill()
		g.start()
		time.Sleep(2 * time.Second)
		r.bed.net.HealAll()
		time.Sleep(time.Second)
	}
	return nil
}

func (r *run) follower() *keeperProcess {
	leader := r.bed.leader()
	for _, k := range r.bed.keepers {
		if k != leader {
			return k
		}
	}
	return nil
}

func keeperHostsBut(r *run, but *keeperProcess) []string {
	var out []string
	for _, k := range r.bed.keepers {
		if k != but {
			out = append(out, k.host)
		}
	}
	return out
}

// quiet strikes nothing.
func quiet(r *run) error {
	time.Sleep(10 * time.Second)
	return nil
}

// allGates names the gates of a bed.
func allGates(n int) []view.GateName {
	var out []view.GateName
	for _, g := range newBed(0, options{gates: n}).gates {
		out = append(out, g.name)
	}
	return out
}
