package coordinator

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/formation"
)

// entrySilence is the silence after which entry hosts report a head.
const entrySilence = 400 * time.Millisecond

// A head that was silent for 1.5 s lost its members after 1 s, and with them its streams.
func TestGroupOfABrieflySilentHostIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		first, count int // hosts of the group that are silent
		reported     bool
	}{
		"head":                     {0, 1, true},
		"member":                   {2, 1, true},
		"whole group":              {0, siteGroupSize, true},
		"head of an idle group":    {0, 1, false},
		"whole group without load": {0, siteGroupSize, false},
	} {
		for _, silence := range []time.Duration{1100 * time.Millisecond, 1600 * time.Millisecond} {
			t.Run(name+" for "+silence.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newEngineSite(t, 2*siteGroupSize)
					head := s.heads()[0]
					quiet := s.members(head)[c.first : c.first+c.count]
					before, began := s.assignments(), time.Now()
					s.setCondition(silent, quiet...)
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					if c.reported {
						s.reportSilence(ctx, head, entrySilence)
					}
					time.Sleep(silence)
					s.setCondition(running, quiet...)
					cancel()
					time.Sleep(5 * time.Second)
					if o := s.firstOrder(formation.Leave, began); o != nil {
						t.Errorf("a host was told to leave its group after %v", o.at.Sub(began))
					}
					if after := s.assignments(); !maps.Equal(before, after) {
						t.Errorf("groups %v, before %v", after, before)
					}
				})
			})
		}
	}
}

// Times from the first report until the group is given up. A host that accepts connections gets the
// time of a brief silence, any other none.
func TestGroupOfALostHostIsGivenUpInTime(t *testing.T) {
	for name, c := range map[string]struct {
		rank             int
		condition        condition
		earliest, latest time.Duration
	}{
		"head refuses":         {0, ended, 0, 150 * time.Millisecond},
		"member refuses":       {3, ended, 0, 150 * time.Millisecond},
		"head is dark":         {0, dark, 0, 2*probeTimeout + 150*time.Millisecond},
		"member is dark":       {3, dark, 0, 2*probeTimeout + 150*time.Millisecond},
		"head never answers":   {0, silent, 1600*time.Millisecond - entrySilence, 2200 * time.Millisecond},
		"member never answers": {3, silent, 1600*time.Millisecond - entrySilence, 2200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEngineSite(t, 2*siteGroupSize+1)
				head := s.heads()[0]
				lost := s.members(head)[c.rank]
				began := time.Now()
				s.setCondition(c.condition, lost)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s.reportSilence(ctx, head, entrySilence)
				time.Sleep(10 * time.Second)
				leave, open := s.awaitOrder(formation.Leave, began), s.awaitOrder(formation.Open, began)
				took := leave.at.Sub(began) - entrySilence
				t.Logf("given up %v after the host was lost, next group is told to open %v after", leave.at.Sub(began), open.at.Sub(began))
				if took < c.earliest || took > c.latest {
					t.Errorf("given up %v after the first report, want %v to %v", took, c.earliest, c.latest)
				}
			})
		})
	}
}

// A host that only the coordinators cannot reach still serves its group.
func TestGroupThatWorksIsKeptWhateverItsProbesShow(t *testing.T) {
	for name, c := range map[string]struct {
		rank      int
		condition condition
	}{
		"head is dark":         {0, dark},
		"member is dark":       {3, dark},
		"head never answers":   {0, silent},
		"member never answers": {3, silent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEngineSite(t, 2*siteGroupSize)
				head := s.heads()[0]
				before, began := s.assignments(), time.Now()
				s.setCondition(c.condition, s.members(head)[c.rank])
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s.reportSilence(ctx, head, entrySilence)
				for range 40 {
					s.sync("e1", head)
					time.Sleep(250 * time.Millisecond)
				}
				if o := s.firstOrder(formation.Leave, began); o != nil {
					t.Errorf("a host was told to leave its group after %v", o.at.Sub(began))
				}
				if after := s.assignments(); !maps.Equal(before, after) {
					t.Errorf("groups %v, before %v", after, before)
				}
			})
		})
	}
}

func TestFormingGroupWaitsForABrieflySilentMember(t *testing.T) {
	for name, rank := range map[string]int{"member": 3, "head": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEngineSite(t, siteGroupSize+1)
				members := s.members(s.heads()[0])
				began := time.Now()
				s.setCondition(ended, members[1])
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s.reportSilence(ctx, members[0], entrySilence)
				join := s.awaitOrder(formation.Join, began)
				quiet := s.host(join.Members[rank])
				s.setCondition(silent, quiet)
				time.Sleep(1600 * time.Millisecond)
				s.setCondition(running, quiet)
				time.Sleep(5 * time.Second)
				if heads := s.heads(); len(heads) != 1 || heads[0].record.Assignment.Epoch != join.Epoch {
					t.Errorf("group %d does not serve: %v", join.Epoch, s.assignments())
				}
			})
		})
	}
}

// A single probe without an answer must not show that a host is lost.
func TestGroupIsKeptThoughTheLeaderStoodStillDuringAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEngineSite(t, 2*siteGroupSize)
		head := s.heads()[0]
		before, began := s.assignments(), time.Now()
		s.stall = 2500 * time.Millisecond
		s.setCondition(silent, head)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s.reportSilence(ctx, head, entrySilence)
		time.Sleep(1100 * time.Millisecond)
		s.setCondition(running, head)
		cancel()
		time.Sleep(5 * time.Second)
		if o := s.firstOrder(formation.Leave, began); o != nil {
			t.Errorf("a host was told to leave its group after %v", o.at.Sub(began))
		}
		if after := s.assignments(); !maps.Equal(before, after) {
			t.Errorf("groups %v, before %v", after, before)
		}
	})
}

// Entry hosts suspect a head for 1 s, and the leader once withheld new requests after 1 s.
func TestSilentHeadGetsNoNewRequests(t *testing.T) {
	for name, rank := range map[string]int{"head": 0, "member": 3} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEngineSite(t, 2*siteGroupSize)
				head := s.heads()[0]
				quiet := s.members(head)[rank]
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s.setCondition(silent, quiet)
				s.reportSilence(ctx, head, entrySilence)
				time.Sleep(time.Second)
				for range 6 {
					if !s.cordoned(head) {
						t.Error("the head gets new requests")
					}
					time.Sleep(100 * time.Millisecond)
				}
				s.setCondition(running, quiet)
				cancel()
				time.Sleep(500 * time.Millisecond)
				if s.cordoned(head) {
					t.Error("the head gets no new requests after its silence")
				}
			})
		})
	}
}
