package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// kind is the type of a request.
type kind string

// The kinds of requests.
const (
	kindStreamed   kind = "chat streamed"
	kindUnstreamed kind = "chat whole"
	kindOnce       kind = "once-only"
)

// arrival is one generated request and the time at which it is due.
type arrival struct {
	number       int
	due          time.Duration // since the start of the run
	kind         kind
	organisation Organisation
	gate         int    // index of the first gate to try
	content      string // prompt, or body of a once-only call
	key          string // of a once-only call
	duplicate    bool   // send it through two gates concurrently
}

// arrivals generates the load from a seed. Equal options give equal arrivals.
type arrivals struct {
	options     *Options
	rand        *rand.Rand
	prefixes    []string
	totalWeight float64 // sum of the organisations' weights
	drawn       int
	due         time.Duration
}

// words is the vocabulary of the generated prompts.
var words = strings.Fields("vest buckle strap inflator valve cylinder seam report repack boat ferry river cart canoe route landing booking damage bulletin history check service stamp weather portage")

func newArrivals(o *Options) *arrivals {
	a := &arrivals{options: o, rand: rand.New(rand.NewPCG(o.Seed, 23))}
	for range o.Prefixes {
		a.prefixes = append(a.prefixes, a.sentence(o.PrefixWords))
	}
	for _, org := range o.Organisations {
		a.totalWeight += org.Weight
	}
	return a
}

// ended reports whether the load is over: after the number of requests if that is
// set, else after the duration.
func (a *arrivals) ended() bool {
	if a.options.Requests > 0 {
		return a.drawn >= a.options.Requests
	}
	return a.due >= a.options.Duration
}

// draw returns the next arrival, or false after the end of the load.
func (a *arrivals) draw() (arrival, bool) {
	a.due += time.Duration(a.rand.ExpFloat64() / a.options.Rate * float64(time.Second))
	if a.ended() {
		return arrival{}, false
	}
	a.drawn++
	x := arrival{
		number:       a.drawn,
		due:          a.due,
		organisation: a.organisation(),
		gate:         a.rand.IntN(len(a.options.Gates)),
	}
	switch {
	case a.rand.Float64() < a.options.Once:
		x.kind = kindOnce
		x.content = fmt.Sprintf("%s no. %d", a.sentence(4), a.drawn)
		x.key = fmt.Sprintf("%s%d", keyPrefix(a.options), a.drawn)
		x.duplicate = a.rand.Float64() < a.options.Duplicates
		return x, true
	case a.rand.Float64() < a.options.Streamed:
		x.kind = kindStreamed
	default:
		x.kind = kindUnstreamed
	}
	x.content = fmt.Sprintf("%s %s no. %d", a.prefix(), a.sentence(8), a.drawn)
	return x, true
}

func (a *arrivals) organisation() Organisation {
	at := a.rand.Float64() * a.totalWeight
	for _, o := range a.options.Organisations {
		if at -= o.Weight; at < 0 {
			return o
		}
	}
	return a.options.Organisations[len(a.options.Organisations)-1]
}

// prefix picks a shared prompt prefix; earlier ones are picked more often.
func (a *arrivals) prefix() string {
	if len(a.prefixes) == 0 {
		return ""
	}
	return a.prefixes[min(a.rand.IntN(len(a.prefixes)), a.rand.IntN(len(a.prefixes)))]
}

func (a *arrivals) sentence(n int) string {
	s := make([]string, n)
	for i := range s {
		s[i] = words[a.rand.IntN(len(words))]
	}
	return strings.Join(s, " ")
}

// keyPrefix is the common prefix of the once-only keys of one load.
func keyPrefix(o *Options) string { return fmt.Sprintf("load-%x-%s-", o.Seed, o.Run) }
