package objects

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// hostsOfFabric is enough hosts for every model group of a random set.
const hostsOfFabric = 400

// randomSet returns a valid set.
func randomSet(r *rand.Rand) object.Set {
	var s object.Set
	for i := range 1 + r.IntN(3) {
		s.FailureDomains = append(s.FailureDomains, object.FailureDomain{Name: fmt.Sprint("fd-", i), Region: "south"})
		s.FabricDomains = append(s.FabricDomains, object.FabricDomain{Name: fmt.Sprint("fabric-", i), FailureDomain: fmt.Sprint("fd-", i), Hosts: hostsOfFabric})
	}
	for i := range 1 + r.IntN(3) {
		s.Versions = append(s.Versions, object.Version{Name: fmt.Sprint("v", i), Model: "chat", WeightsBytes: 1 << (20 + r.IntN(15))})
	}
	s.Adapters = []object.Adapter{{Name: "tone", Model: "chat", Versions: []string{"v0"}}}
	for i := range 1 + r.IntN(4) {
		s.ModelGroups = append(s.ModelGroups, randomModelGroup(r, fmt.Sprint("group-", i)))
	}
	for i := range 2 + r.IntN(3) {
		s.Services = append(s.Services, randomService(r, i))
	}
	for i := range 1 + r.IntN(5) {
		s.Organisations = append(s.Organisations, object.Organisation{Name: fmt.Sprint("shop-", i), Weight: 1 + r.IntN(9), MaxQueued: 10})
	}
	return s
}

func randomModelGroup(r *rand.Rand, name string) object.ModelGroup {
	copies := 1 + r.IntN(4)
	return object.ModelGroup{
		Name: name, Version: "v0", Adapters: []string{"tone"},
		Copies: copies, Minimum: r.IntN(copies + 1), HostsPerGroup: 1 + r.IntN(8), FailureDomains: []string{"fd-0"},
		MaxInFlight: 64, ColdInFlight: 1 + r.IntN(8), RampTime: time.Duration(r.IntN(60)) * time.Second,
	}
}

// randomService returns a service that calls its predecessor.
func randomService(r *rand.Rand, i int) object.Service {
	s := object.Service{
		Name: fmt.Sprint("service-", i), KeyHeader: object.DefaultKeyHeader,
		OnceOnly: []object.Call{{Method: "POST", Path: "/stamp"}}, Timeout: time.Second, Retention: time.Hour,
		MaxRecords: 1 + r.IntN(1000), MaxAnswer: 1024, MaxInFlight: 8, ColdInFlight: 2, ModelGroups: []string{"group-0"},
	}
	if i > 0 {
		s.Services = []string{fmt.Sprint("service-", i-1)}
	}
	return s
}
