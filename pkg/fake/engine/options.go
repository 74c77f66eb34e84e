package engine

import (
	"net"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Options configures one Engine.
type Options struct {
	Name             view.HostName
	Incarnation      view.Incarnation // 0: derived from the clock
	FailureDomain    string
	FabricDomain     string
	Address          string   // host:port at which others reach it
	Gates            []string // host:port of gates to announce to
	IgnoreFence      bool     // carry out orders with an old fencing number
	LoadRate         int64    // bytes per second from the weight store; 0: loads complete at once
	AnnounceInterval time.Duration
	Model            ModelOptions
	Log              *log.Logger
	// Dial opens connections to gates and peers; nil: plain TCP.
	Dial func(network, address string) (net.Conn, error)
	// OnPrompt is called with the prompt of each request that is queued for the batch.
	OnPrompt func(prompt string)
	// Crash ends the process at once, for an injected crash.
	Crash func()
}
