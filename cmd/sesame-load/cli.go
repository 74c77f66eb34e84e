package main

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/load"
)

// cli holds the flags.
type cli struct {
	Gate         []string      `required:"" help:"Callers' interface of a gate, as host:port; may be repeated." placeholder:"ADDRESS"`
	Seed         uint64        `default:"1" help:"Seed of arrivals, prompts and choices."`
	Run          string        `help:"Tells the keys of this run from those of others; the time of the start if empty." placeholder:"NAME"`
	Rate         float64       `default:"10" help:"Requests a second over all kinds."`
	Duration     time.Duration `default:"10s" help:"Time of the arrivals."`
	Requests     int           `placeholder:"N" help:"Exactly so many requests, in place of a duration."`
	Organisation []string      `default:"boia=1" help:"Organisation and weight as NAME=WEIGHT or NAME=WEIGHT:APIKEY; may be repeated." placeholder:"NAME=WEIGHT"`
	Model        string        `default:"assistant" help:"Model group of the chats."`
	Prefixes     int           `default:"8" help:"Shared beginnings of prompts."`
	PrefixWords  int           `default:"200" help:"Words of a shared beginning."`
	MaxTokens    int           `help:"Tokens of an answer; 0 leaves it to the model."`
	Streamed     float64       `default:"0.7" help:"Share of the chats that are streamed."`
	Deadline     time.Duration `help:"Deadline that chats ask for; 0 for none."`
	Timeout      time.Duration `default:"60s" help:"How long a caller waits for one send."`
	Resends      int           `default:"5" help:"Resends after a refusal or a lost reply, at most."`
	Once         float64       `help:"Share of the requests that are once-only calls."`
	Service      string        `default:"records" help:"Service of the once-only calls."`
	OncePath     string        `default:"/stamp" help:"Path of the once-only calls, below the service."`
	KeyHeader    string        `default:"Idempotency-Key" help:"Header of the once-only calls' key."`
	Duplicates   float64       `help:"Share of the once-only calls that are sent through two gates at once."`
	Record       []string      `help:"Stand-in service whose executions are checked, as host:port; name all hosts of the service." placeholder:"ADDRESS"`
	MaxInFlight  int           `default:"4096" help:"Requests in flight at most; those beyond it are counted as not sent."`
	AnyAnswer    bool          `help:"Take any text of a model, for engines other than the stand-in."`
	JSON         string        `name:"json" default:"-" help:"File for the report as JSON; - for the standard output." placeholder:"FILE"`
	HTML         string        `name:"html" help:"File for the report as a page with plots." placeholder:"FILE"`
	Check        bool          `help:"Exit with code 2 if an answer was wrong or nothing was done."`
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

// parseOrganisation reads NAME=WEIGHT or NAME=WEIGHT:APIKEY.
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
