package settings

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/inifile"
)

// Ctl holds the settings of sesamectl.
type Ctl struct {
	Servers  []string
	Operator string
	Timeout  time.Duration
	TLS      TLS
}

// Section implements Program.
func (c *Ctl) Section() string { return "ctl" }

func (c *Ctl) setDefaults() {
	c.Servers = []string{"127.0.0.1:7700"}
	c.Timeout = 10 * time.Second
}

// Fields implements Program.
func (c *Ctl) Fields() []inifile.Field {
	fields := []inifile.Field{
		required(addresses("servers", &c.Servers, "JSON-RPC addresses of keepers or gates, at least one.")),
		inifile.Text("operator", &c.Operator, nameRule+", or empty", optional(checkName), "Name that the history records for changes."),
		inifile.Duration("timeout", &c.Timeout, 100*time.Millisecond, 10*time.Minute, "Timeout of one command, not counting requested waits."),
	}
	return append(fields, c.TLS.fields()...)
}

// Conflicts implements Program.
func (c *Ctl) Conflicts() []Conflict {
	var plain []endpoint
	for _, s := range c.Servers {
		plain = append(plain, endpoint{"servers", s})
	}
	return c.TLS.conflicts(plain)
}
