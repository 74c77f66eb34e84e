package service

import (
	"net"
	"net/http"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Config tells a stand-in what to be. Only Host and a Listener are needed.
type Config struct {
	// Host is what it announces. Kind and Address are filled in.
	Host                  view.Host
	Listener              net.Listener
	Gates                 []string     // host:port of gates to announce to
	Client                *http.Client // for announcements; nil for a plain one
	Record                *Record      // shared with other hosts; nil for its own
	RejectQueriedAttempts bool         // it bars an attempt that is asked for before it ran
	Logger                *log.Logger  // nil for none
}

// Headers of calls.
const (
	KeyHeader     = "Idempotency-Key" // the caller's key
	RequestHeader = "X-Request-Id"    // the caller's own ID of the request
)
