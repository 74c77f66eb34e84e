package formation

import "testing"

func TestHostIsLostByWhatItsProbesShow(t *testing.T) {
	for name, c := range map[string]struct {
		results []ProbeResult
		want    Verdict // of the last result; all others are unclear
	}{
		"answers":                           {[]ProbeResult{Answered}, HostAlive},
		"refuses":                           {[]ProbeResult{Refused}, HostLost},
		"unreachable once":                  {[]ProbeResult{Unreachable}, HostUnclear},
		"unreachable twice":                 {[]ProbeResult{Unreachable, Unreachable}, HostLost},
		"replaced twice":                    {[]ProbeResult{Replaced, Replaced}, HostLost},
		"reached after a lost packet":       {[]ProbeResult{Unreachable, Answered}, HostAlive},
		"silent for 4 probes":               {[]ProbeResult{Silent, Silent, Silent, Silent}, HostUnclear},
		"goes on after 4 probes":            {[]ProbeResult{Silent, Silent, Silent, Silent, Answered}, HostAlive},
		"silent for 5 probes":               {[]ProbeResult{Silent, Silent, Silent, Silent, Silent}, HostLost},
		"silent, then the process ends":     {[]ProbeResult{Silent, Refused}, HostLost},
		"silent, then without power":        {[]ProbeResult{Silent, Silent, Unreachable, Unreachable}, HostLost},
		"lost packets do not add up":        {[]ProbeResult{Unreachable, Silent, Unreachable}, HostUnclear},
		"never answers behind lost packets": {[]ProbeResult{Unreachable, Silent, Unreachable, Silent, Unreachable, Silent, Silent, Silent}, HostLost},
	} {
		check := NewHostCheck(0)
		for i, r := range c.results {
			want := HostUnclear
			if i == len(c.results)-1 {
				want = c.want
			}
			if got := check.Record(r); got != want {
				t.Errorf("%s: verdict %d of probe %d, want %d", name, got, i, want)
			}
		}
	}
}
