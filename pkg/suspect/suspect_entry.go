package suspect

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// suspectEntry is a fingerprint under suspicion.
type suspectEntry struct {
	Fingerprint  view.Fingerprint
	Organisation string
	Crashes      []crashID // in the order of their first report
	LastCrash    view.Time
	Convicted    bool
	Trial        view.GateName
}

func (e *suspectEntry) quarantine(o *Options) view.Quarantine {
	return view.Quarantine{
		Fingerprint:  e.Fingerprint,
		Organisation: e.Organisation,
		Crashes:      len(e.Crashes),
		Until:        e.expiresAt(o),
		Isolate:      !e.Convicted,
		Trial:        e.Trial,
	}
}

func (e *suspectEntry) expiresAt(o *Options) view.Time {
	return e.LastCrash + view.Time(e.ttl(o))
}

func (e *suspectEntry) ttl(o *Options) time.Duration {
	if e.Convicted {
		return o.ConvictedTTL
	}
	return o.SuspectTTL
}
