package control

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// rounds is the number of times that a fault is injected in a run.
const rounds = 3

// pause waits for a random time.
func (r *run) pause() {
	time.Sleep(r.bed.randomDuration(300*time.Millisecond, 1500*time.Millisecond))
}

// killLeaders repeatedly kills and restarts the leader.
func killLeaders(r *run) error {
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

// killAllKeepers repeatedly kills all keepers at once and restarts them.
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

// isolateLeader repeatedly isolates the leader. Its connections hang without an error.
func isolateLeader(d time.Duration) fault {
	return func(r *run) error {
		for range rounds {
			r.pause()
			k := r.bed.leader()
			r.bed.net.Partition([]string{k.host}, r.bed.otherHosts(k.host))
			time.Sleep(d)
			r.bed.net.HealAll()
			time.Sleep(time.Second)
		}
		return nil
	}
}

// cutLeaderOneWay repeatedly cuts one direction between the leader and other keepers.
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

// isolateGate isolates a gate for 8 s.
func isolateGate(r *run) error {
	r.pause()
	host := string(r.bed.gates[0].name)
	r.bed.net.Partition([]string{host}, r.bed.otherHosts(host))
	time.Sleep(8 * time.Second)
	r.bed.net.HealAll()
	time.Sleep(2 * time.Second)
	return nil
}

// isolateGateForLong isolates a gate for as long as engine restarts take.
func isolateGateForLong(r *run) error {
	host := string(r.bed.gates[0].name)
	r.bed.net.Partition([]string{host}, r.bed.otherHosts(host))
	time.Sleep(15 * time.Second)
	r.bed.net.HealAll()
	return nil
}

// partitionGateFromLeader cuts the link between a gate and the leader for 8 s.
func partitionGateFromLeader(r *run) error {
	r.pause()
	host := string(r.bed.gates[0].name)
	r.bed.net.Partition([]string{host}, []string{r.bed.leader().host})
	time.Sleep(8 * time.Second)
	r.bed.net.HealAll()
	return nil
}

// isolateGateAndKillLeader isolates a gate and kills the leader. The next leader does
// not know how long the gate's lease lasts.
func isolateGateAndKillLeader(r *run) error {
	for range rounds {
		r.pause()
		host := string(r.bed.gates[0].name)
		r.bed.net.Partition([]string{host}, r.bed.otherHosts(host))
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

// failLeaderDomain isolates the hosts of the leader and of a gate together.
func failLeaderDomain(r *run) error {
	r.pause()
	leader := r.bed.leader().host
	gate := string(r.bed.gates[0].name)
	r.bed.net.Partition([]string{leader, gate}, r.bed.otherHosts(leader))
	r.bed.net.Partition([]string{leader, gate}, r.bed.otherHosts(gate))
	time.Sleep(10 * time.Second)
	return nil
}

// restartGate kills and restarts a gate while a keeper lags.
func restartGate(r *run) error {
	for range rounds {
		r.pause()
		behind := r.follower()
		r.bed.net.Partition([]string{behind.host}, otherKeeperHosts(r, behind))
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

func otherKeeperHosts(r *run, but *keeperProcess) []string {
	var out []string
	for _, k := range r.bed.keepers {
		if k != but {
			out = append(out, k.host)
		}
	}
	return out
}

// noFault injects no fault for 10 s.
func noFault(r *run) error {
	time.Sleep(10 * time.Second)
	return nil
}

// allGates returns the names of a testbed's gates.
func allGates(n int) []view.GateName {
	var out []view.GateName
	for _, g := range newTestbed(0, options{gates: n}).gates {
		out = append(out, g.name)
	}
	return out
}
