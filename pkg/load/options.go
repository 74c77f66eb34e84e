package load

import (
	"time"

	"github.com/rotisserie/eris"
)

// Options describes the load.
type Options struct {
	Gates         []string       // host:port of the callers' interfaces, used in turn
	Seed          uint64         // of arrivals, prompts and choices
	Run           string         // tells the keys of one run from those of another
	Rate          float64        // requests a second over all kinds, above 0
	Duration      time.Duration  // of the arrivals
	Requests      int            // in all, in place of Duration; 0: as many as come in it
	Organisations []Organisation // at least one
	Model         string         // model group, for chats
	Prefixes      int            // shared beginnings of prompts
	PrefixWords   int            // words of a shared beginning
	MaxTokens     int            // of an answer; 0: as the prompt has it
	Streamed      float64        // share of the chats that are streamed, in [0,1]
	Deadline      time.Duration  // that a chat asks for; 0: none
	Timeout       time.Duration  // of the caller, for one send
	Resends       int            // after a refusal or a lost reply, at most
	Once          float64        // share of the requests that are once-only calls, in [0,1]
	Service       string         // of the once-only calls
	OncePath      string         // below the service, such as /stamp
	KeyHeader     string         // of the once-only calls
	Duplicates    float64        // share of the once-only calls that are sent twice, in [0,1]
	Records       []string       // host:port of stand-in services whose executions are checked
	MaxInFlight   int            // requests in flight; those beyond it are not sent and counted
}

// Organisation is a caller's share of the load.
type Organisation struct {
	Name   string
	Weight float64 // above 0
	Key    string  // API key; "" to go by name
}

// check tells the first thing that is wrong.
func (o *Options) check() error {
	switch {
	case len(o.Gates) == 0:
		return eris.Wrap(ErrOptions, "no gate is given")
	case o.Rate <= 0 || o.Duration <= 0:
		return eris.Wrap(ErrOptions, "rate and duration must be above 0")
	case len(o.Organisations) == 0:
		return eris.Wrap(ErrOptions, "no organisation is given")
	case o.Once > 0 && (o.Service == "" || o.OncePath == ""):
		return eris.Wrap(ErrOptions, "once-only calls need a service and a path")
	case o.Once < 1 && o.Model == "":
		return eris.Wrap(ErrOptions, "chats need a model group")
	case o.MaxInFlight <= 0:
		return eris.Wrap(ErrOptions, "requests in flight must be above 0")
	}
	return nil
}
