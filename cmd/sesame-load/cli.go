package main

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/load"
)

// cli holds the command-line flags.
type cli struct {
	Gate         []string      `required:"" help:"Address of a gate's interface for callers, host:port; may be repeated." placeholder:"ADDRESS"`
	Seed         uint64        `default:"1" help:"Seed of arrivals, prompts and choices."`
	Run          string        `help:"Part of the once-only keys, distinct for each run; derived from the start time if empty." placeholder:"NAME"`
	Rate         float64       `default:"10" help:"Requests per second over all kinds."`
	Duration     time.Duration `default:"10s" help:"Duration of the arrivals."`
	Requests     int           `placeholder:"N" help:"Total number of requests, instead of a duration."`
	Organisation []string      `default:"boia=1" help:"Organisation and weight as NAME=WEIGHT or NAME=WEIGHT:APIKEY; may be repeated." placeholder:"NAME=WEIGHT"`
	Model        string        `default:"assistant" help:"Model group of the chat requests."`
	Prefixes     int           `default:"8" help:"Number of shared prompt prefixes."`
	PrefixWords  int           `default:"200" help:"Words in a shared prompt prefix."`
	MaxTokens    int           `help:"Tokens of an answer; 0 leaves the length to the model."`
	Streamed     float64       `default:"0.7" help:"Fraction of the chat requests that are streamed."`
	Deadline     time.Duration `help:"Deadline that is sent with chat requests; 0 for none."`
	Timeout      time.Duration `default:"60s" help:"Time-out of the client for each send."`
	Resends      int           `default:"5" help:"Maximum number of resends after a refusal or a lost reply."`
	Once         float64       `help:"Fraction of the requests that are once-only calls."`
	Service      string        `default:"records" help:"Service of the once-only calls."`
	OncePath     string        `default:"/stamp" help:"Path of the once-only calls, within the service."`
	KeyHeader    string        `default:"Idempotency-Key" help:"Header for the key of the once-only calls."`
	Duplicates   float64       `help:"Fraction of the once-only calls that are sent through two gates concurrently."`
	Record       []string      `help:"Stand-in service whose executions are checked, as host:port; name all hosts of the service." placeholder:"ADDRESS"`
	MaxInFlight  int           `default:"4096" help:"Limit on requests in flight; requests beyond it are counted as not sent."`
	AnyAnswer    bool          `help:"Accept any answer of a model, for engines other than the stand-in."`
	JSON         string        `name:"json" default:"-" help:"File for the report as JSON; - for standard output." placeholder:"FILE"`
	HTML         string        `name:"html" help:"File for the report as a page with plots." placeholder:"FILE"`
	Check        bool          `help:"Exit with code 2 if an answer was wrong or no request was done."`
}

func (c *cli) options() (load.Options, error) {
	o := load.Options{
		Gates:       c.Gate,
		Seed:        c.Seed,
		Run:         c.Run,
		Rate:        c.Rate,
		Duration:    c.Duration,
		Requests:    c.Requests,
		Model:       c.Model,
		Prefixes:    c.Prefixes,
		PrefixWords: c.PrefixWords,
		MaxTokens:   c.MaxTokens,
		Streamed:    c.Streamed,
		Deadline:    c.Deadline,
		Timeout:     c.Timeout,
		Resends:     c.Resends,
		Once:        c.Once,
		Service:     c.Service,
		OncePath:    c.OncePath,
		KeyHeader:   c.KeyHeader,
		Duplicates:  c.Duplicates,
		Records:     c.Record,
		MaxInFlight: c.MaxInFlight,
	}
	if o.Run == "" {
		o.Run = strconv.FormatInt(time.Now().UnixMilli(), 36)
	}
	for _, s := range c.Organisation {
		org, err := parseOrganisation(s)
		if err != nil {
			return o, err
		}
		o.Organisations = append(o.Organisations, org)
	}
	return o, nil
}

// parseOrganisation parses NAME=WEIGHT or NAME=WEIGHT:APIKEY.
func parseOrganisation(s string) (load.Organisation, error) {
	name, rest, ok := strings.Cut(s, "=")
	weight, key, _ := strings.Cut(rest, ":")
	w, err := strconv.ParseFloat(weight, 64)
	if !ok || name == "" || err != nil || !(w > 0) {
		return load.Organisation{}, eris.Errorf("organisation %q is not NAME=WEIGHT or NAME=WEIGHT:APIKEY with a weight above 0", name)
	}
	return load.Organisation{Name: name, Weight: w, Key: key}, nil
}

func (c *cli) checker() load.Checker {
	if c.AnyAnswer {
		return load.AcceptAnyAnswer{}
	}
	return load.EngineChecker{}
}
