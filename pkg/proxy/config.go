package proxy

import (
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/upstream"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Config connects a proxy to its gate.
type Config struct {
	Gate          view.Gate
	View          func() *view.View // the view to bring into force
	Lease         Lease
	Permits       *permit.Local
	Health        Health                // nil: all members are considered healthy
	Suspects      Suspects              // nil: no request is treated as a suspect
	OnCrash       func(CrashReport)     // called when an upstream crashed; nil: none
	Recorder      Recorder              // nil: events are discarded
	TimelineStamp func() string         // returns the timeline stamp sent to peers; nil: none is sent
	Dial          upstream.DialFunc     // nil: TCP
	Log           *log.Logger           // nil: none
	Metrics       prometheus.Registerer // nil: not exported
	Options       Options
}
