package proxy

import (
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/upstream"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Config joins a proxy to its gate.
type Config struct {
	Gate          view.Gate
	View          func() *view.View // the view to bring into force
	Lease         Lease
	Permits       *permit.Local
	Health        Health                // nil: all members count as well
	Suspects      Suspects              // nil: no request is suspected
	OnCrash       func(CrashReport)     // nil: not told
	Recorder      Recorder              // nil: no time line
	TimelineStamp func() string         // stamp of the time line for peers; nil: none is sent
	Dial          upstream.DialFunc     // nil: TCP
	Log           *log.Logger           // nil: none
	Metrics       prometheus.Registerer // nil: not exported
	Options       Options
}
