package service

import (
	"net"
	"net/http"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Config configures a stand-in service. Only Host and Listener are required.
type Config struct {
	// Host is the host that is announced. New fills in its Kind and, if empty, its
	// Address.
	Host                  view.Host
	Listener              net.Listener
	Gates                 []string     // host:port of gates to announce to
	Client                *http.Client // for announcements; nil for a default client
	Record                *Record      // shared with other hosts of the service; nil for a new one
	RejectQueriedAttempts bool         // rejects an attempt whose outcome was queried before it ran
	Logger                *log.Logger  // nil for no log
}

// Headers of calls.
const (
	KeyHeader     = "Idempotency-Key" // the caller's key
	RequestHeader = "X-Request-Id"    // the caller's ID of the request
)
