package coordinator

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var (
	fullFirst = flag.Int("full-disk-first", 1, "first seed of the series of full disks")
	fullSeeds = flag.Int("full-disk-seeds", 3, "number of seeds of the series of full disks")
)

// fullDiskSeries fills the disks of coordinators one after the other, never two at once.
type fullDiskSeries struct {
	*cluster
	random  *rand.Rand
	version int
}

// victim returns a coordinator: the leader, the one with the newest replica, or any other.
func (s *fullDiskSeries) victim(turn int) string {
	names := slices.Sorted(maps.Keys(s.running))
	switch s.random.IntN(4) {
	case 0:
		if name := s.leaderNow(); name != "" {
			return name
		}
	case 1:
		if name := s.newestReplica(); name != "" {
			return name
		}
	case 2:
		return names[turn%len(names)]
	}
	return names[s.random.IntN(len(names))]
}

// newestReplica returns the coordinator of the replica with the highest ID.
func (s *fullDiskSeries) newestReplica() string {
	found, highest := "", uint64(0)
	for name, p := range s.running {
		r := p.replica.Load()
		if r == nil {
			continue
		}
		if st, err := r.node.Status(context.Background()); err == nil && uint64(st.ID) > highest {
			found, highest = name, uint64(st.ID)
		}
	}
	return found
}

// fill fills a disk for a while, beside changes and perhaps a restart.
func (s *fullDiskSeries) fill(name string) {
	state := []fullness{refusesBytes, refusesAll, almostFull}[s.random.IntN(3)]
	s.disks[name].full.Store(int32(state))
	until := time.Now().Add(time.Second + time.Duration(s.random.Int64N(int64(7*time.Second))))
	restart := s.random.IntN(4) == 0
	for time.Now().Before(until) {
		s.tryChange()
		time.Sleep(time.Duration(s.random.IntN(700)) * time.Millisecond)
		if restart {
			restart = false
			s.kill(name)
			s.awaitEnd(name)
			s.start(name, false)
			s.disks[name].full.Store(int32(state))
		}
	}
	s.disks[name].full.Store(int32(hasRoom))
}

// tryChange sends a change to some coordinator once.
func (s *fullDiskSeries) tryChange() {
	s.version++
	names := slices.Sorted(maps.Keys(s.running))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	document := fmt.Sprintf("v%d %s", s.version, strings.Repeat("x", s.random.IntN(100_000)))
	_ = s.running[names[s.random.IntN(len(names))]].PutDocument(ctx, []byte(document))
}

const (
	// fullDiskRecovery is the time after the last full disk within which changes must be acknowledged again.
	fullDiskRecovery = 12 * time.Second
	// fullDiskAck is the time within which a change must be acknowledged then.
	fullDiskAck = 4 * time.Second
)

// assertRecovers checks that changes are acknowledged and read back once all disks have room.
func (s *fullDiskSeries) assertRecovers() {
	s.t.Helper()
	time.Sleep(fullDiskRecovery)
	s.version++
	document := fmt.Sprintf("v%d", s.version)
	names := slices.Sorted(maps.Keys(s.running))
	for began, n := time.Now(), 0; ; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := s.running[names[n%len(names)]].PutDocument(ctx, []byte(document))
		cancel()
		if err == nil {
			break
		}
		if time.Since(began) > fullDiskAck {
			s.t.Fatalf("a change is not acknowledged %v after the last full disk: %v\n%s", time.Since(began)+fullDiskRecovery, err, s.replicas())
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.expectRead(names[0], document)
}

// replicas describes the replica of each coordinator.
func (s *fullDiskSeries) replicas() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.running)) {
		r := s.running[name].replica.Load()
		if r == nil {
			fmt.Fprintf(&b, "%s: no replica\n", name)
			continue
		}
		st, err := r.node.Status(context.Background())
		fmt.Fprintf(&b, "%s: replica %d, %v, leader %d, handshaking %v, term %d, members %v, %v\n", name, st.ID, st.Role, st.Leader, st.Handshaking, st.Term, memberNames(st.Membership), err)
	}
	return b.String()
}

// Disks are full one after the other, for longer or shorter than it takes to replace a voter. Once all have
// room again the coordinators must too.
func TestCoordinatorsRecoverFromFullDisksInSeries(t *testing.T) {
	for seed := *fullFirst; seed < *fullFirst+*fullSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := &fullDiskSeries{cluster: newSettledCluster(t), random: rand.New(rand.NewPCG(uint64(seed), 46)), version: 3}
				for n := range s.random.IntN(4) {
					s.start(fmt.Sprintf("s%d", n), false)
				}
				time.Sleep(catchUp)
				for range 4 {
					for turn := range 6 {
						s.fill(s.victim(turn))
						time.Sleep(time.Duration(s.random.IntN(1500)) * time.Millisecond)
					}
					s.assertRecovers()
				}
			})
		})
	}
}
