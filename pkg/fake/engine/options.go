package engine

import (
	"net"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Options sets one stand-in.
type Options struct {
	Name             view.HostName
	Incarnation      view.Incarnation // 0: from the clock
	FailureDomain    string
	FabricDomain     string
	Address          string   // host:port that others reach it by
	Gates            []string // addresses to announce to
	IgnoreFence      bool     // carry out orders with an old fencing number
	LoadRate         int64    // bytes a second from the weights store; 0: at once
	AnnounceInterval time.Duration
	Model            ModelOptions
	Log              *log.Logger
	// Dial opens connections to gates and peers; nil: TCP.
	Dial func(network, address string) (net.Conn, error)
	// OnPrompt is told of the prompt of each request that enters the batch.
	OnPrompt func(prompt string)
	// Crash ends the process at once for an ordered crash.
	Crash func()
}
