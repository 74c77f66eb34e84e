package groupday

import (
	"fmt"
	"time"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Fleet is the hosts of a day and what they should run.
type Fleet struct {
	FailureDomains int
	FabricDomains  int // in all, spread evenly over failure domains
	HostsPerFabric int
	HostsPerGroup  int
	Copies         int
	Minimum        int
	WeightsBytes   int64         // that each member fetches
	StoreRate      int64         // bytes a second in total
	HostRate       int64         // bytes a second for one host
	PauseGrace     time.Duration // longest wait for a silent member
}

// Hosts is the number of hosts.
func (f Fleet) Hosts() int { return f.FabricDomains * f.HostsPerFabric }

// CurrentFleet is one user's runners of today: 50 and one more, so that three fabric
// domains are of one size.
func CurrentFleet() Fleet {
	return Fleet{
		FailureDomains: 3,
		FabricDomains:  3,
		HostsPerFabric: 17,
		HostsPerGroup:  4,
		Copies:         12,
		Minimum:        9,
		WeightsBytes:   140e9,
		StoreRate:      5e9,
		HostRate:       2500e6,
		PauseGrace:     time.Minute,
	}
}

// groupsPerFabric is how many groups a fabric domain of the target holds.
const groupsPerFabric = 12

// TargetFleet is the fleet of the target: 12,000 runners in 25 failure domains, in
// fabric domains of 12 groups of 4 hosts and some spares.
func TargetFleet(spares int) Fleet {
	hosts := groupsPerFabric*4 + spares
	fabrics := 12000 / hosts
	return Fleet{
		FailureDomains: 25,
		FabricDomains:  fabrics,
		HostsPerFabric: hosts,
		HostsPerGroup:  4,
		Copies:         fabrics * groupsPerFabric,
		Minimum:        fabrics * groupsPerFabric * 9 / 10,
		WeightsBytes:   140e9,
		StoreRate:      200e9,
		HostRate:       2500e6,
		PauseGrace:     time.Minute,
	}
}

// objects gives what the fleet should run.
func (f Fleet) objects() object.Set {
	return object.Set{
		Versions: []object.Version{
			{Name: "v1", Model: "assistant", WeightsBytes: f.WeightsBytes},
			{Name: "v2", Model: "assistant", WeightsBytes: f.WeightsBytes},
		},
		ModelGroups: []object.ModelGroup{{
			Name:          "assistant",
			Version:       "v1",
			Copies:        f.Copies,
			Minimum:       f.Minimum,
			HostsPerGroup: f.HostsPerGroup,
			PauseGrace:    f.PauseGrace,
		}},
	}
}

// host gives one host by its number.
func (f Fleet) host(n int) view.Host {
	fabric := n / f.HostsPerFabric
	return view.Host{
		Name:          view.HostName(fmt.Sprintf("runner-%05d", n)),
		Incarnation:   1,
		Kind:          view.KindEngine,
		Address:       fmt.Sprintf("127.%d.%d.%d:8000", 1+n>>16, n>>8&255, n&255),
		FailureDomain: fmt.Sprintf("domain-%02d", fabric%f.FailureDomains),
		FabricDomain:  fmt.Sprintf("fabric-%03d", fabric),
		ChecksFence:   n%2 == 0,
	}
}

// TenthOfTargetFleet is a tenth of the target.
func TenthOfTargetFleet(spares int) Fleet {
	f := TargetFleet(spares)
	f.FabricDomains = 1200 / f.HostsPerFabric
	f.Copies = f.FabricDomains * groupsPerFabric
	f.Minimum = f.Copies * 9 / 10
	f.StoreRate /= 10
	return f
}
