package load

import (
	"time"

	"github.com/rotisserie/eris"
)

// Options describes the load.
type Options struct {
	Gates         []string       // host:port of the callers' interfaces, used in turn
	Seed          uint64         // of arrivals, prompts and choices
	Run           string         // part of the once-only keys, distinct for each run
	Rate          float64        // requests per second over all kinds, above 0
	Duration      time.Duration  // of the arrivals
	Requests      int            // total number, instead of Duration; 0: as many as are due within Duration
	Organisations []Organisation // at least one
	Model         string         // model group, for chats
	Prefixes      int            // number of shared prompt prefixes
	PrefixWords   int            // words in a shared prompt prefix
	MaxTokens     int            // of an answer; 0: derived from the prompt
	Streamed      float64        // fraction of the chats that are streamed, in [0,1]
	Deadline      time.Duration  // deadline sent with each chat; 0: none
	Timeout       time.Duration  // of the client, for each send
	Resends       int            // maximum number after a refusal or a lost reply
	Once          float64        // fraction of the requests that are once-only calls, in [0,1]
	Service       string         // service name of the once-only calls
	OncePath      string         // path within the service, such as /stamp
	KeyHeader     string         // header for the key of the once-only calls
	Duplicates    float64        // fraction of the once-only calls that are sent twice, in [0,1]
	Records       []string       // host:port of stand-in services whose executions are checked
	MaxInFlight   int            // limit on requests in flight; requests beyond it are not sent but counted
}

// Organisation is an organisation and its weight in the load.
type Organisation struct {
	Name   string
	Weight float64 // above 0
	Key    string  // API key; "" to send the name instead
}

// check returns an error for the first invalid option.
func (o *Options) check() error {
	switch {
	case len(o.Gates) == 0:
		return eris.Wrap(ErrOptions, "no gates")
	case o.Rate <= 0 || o.Duration <= 0:
		return eris.Wrap(ErrOptions, "rate and duration must be above 0")
	case len(o.Organisations) == 0:
		return eris.Wrap(ErrOptions, "no organisations")
	case o.Once > 0 && (o.Service == "" || o.OncePath == ""):
		return eris.Wrap(ErrOptions, "once-only calls need a service and a path")
	case o.Once < 1 && o.Model == "":
		return eris.Wrap(ErrOptions, "chat requests need a model group")
	case o.MaxInFlight <= 0:
		return eris.Wrap(ErrOptions, "the limit on requests in flight must be above 0")
	}
	return nil
}
