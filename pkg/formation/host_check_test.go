package formation

import (
	"testing"
	"time"
)

func TestHostIsLostByWhatItsProbesShow(t *testing.T) {
	type step struct {
		at     time.Duration
		result ProbeResult
	}
	ms := time.Millisecond
	for name, c := range map[string]struct {
		steps []step
		want  Verdict // of the last step; all others are unclear
	}{
		"answers":                           {[]step{{2 * ms, Answered}}, HostAlive},
		"refuses":                           {[]step{{2 * ms, Refused}}, HostLost},
		"unreachable once":                  {[]step{{300 * ms, Unreachable}}, HostUnclear},
		"unreachable twice":                 {[]step{{300 * ms, Unreachable}, {600 * ms, Unreachable}}, HostLost},
		"replaced twice":                    {[]step{{2 * ms, Replaced}, {4 * ms, Replaced}}, HostLost},
		"reached after a lost packet":       {[]step{{300 * ms, Unreachable}, {302 * ms, Answered}}, HostAlive},
		"silent for 1.2 s":                  {[]step{{300 * ms, Silent}, {750 * ms, Silent}, {1200 * ms, Silent}}, HostUnclear},
		"goes on after 1.2 s":               {[]step{{300 * ms, Silent}, {750 * ms, Silent}, {1200 * ms, Silent}, {1352 * ms, Answered}}, HostAlive},
		"silent for 2.1 s":                  {[]step{{300 * ms, Silent}, {1200 * ms, Silent}, {2100 * ms, Silent}}, HostLost},
		"silent, then the process ends":     {[]step{{300 * ms, Silent}, {452 * ms, Refused}}, HostLost},
		"silent, then without power":        {[]step{{300 * ms, Silent}, {750 * ms, Unreachable}, {1050 * ms, Unreachable}}, HostLost},
		"lost packets do not add up":        {[]step{{300 * ms, Unreachable}, {600 * ms, Silent}, {1050 * ms, Unreachable}}, HostUnclear},
		"never answers behind lost packets": {[]step{{300 * ms, Unreachable}, {600 * ms, Silent}, {1050 * ms, Unreachable}, {2400 * ms, Silent}}, HostLost},
	} {
		check := NewHostCheck(0)
		for i, s := range c.steps {
			want := HostUnclear
			if i == len(c.steps)-1 {
				want = c.want
			}
			if got := check.Record(s.at, s.result); got != want {
				t.Errorf("%s: verdict %d after %v, want %d", name, got, s.at, want)
			}
		}
	}
}
