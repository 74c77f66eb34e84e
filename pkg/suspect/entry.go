package suspect

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// entry is one fingerprint under suspicion.
type entry struct {
	Fingerprint  view.Fingerprint
	Organisation string
	Crashes      []crashID // in the order of their first report
	LastCrash    view.Time
	Convicted    bool
	Trial        view.GateName
}

func (e *entry) quarantine(o *Options) view.Quarantine {
	return view.Quarantine{
		Fingerprint:  e.Fingerprint,
		Organisation: e.Organisation,
		Crashes:      len(e.Crashes),
		Until:        e.until(o),
		Isolate:      !e.Convicted,
		Trial:        e.Trial,
	}
}

func (e *entry) until(o *Options) view.Time {
	return e.LastCrash + view.Time(e.lasts(o))
}

func (e *entry) lasts(o *Options) time.Duration {
	if e.Convicted {
		return o.ConvictedTTL
	}
	return o.SuspectTTL
}
