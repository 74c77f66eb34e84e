package ctl

import (
	"context"
	"io"
	"os"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/timeline"
)

// timelineCommand shows the events of all processes.
type timelineCommand struct {
	Request string   `placeholder:"ID" help:"Only events of this request."`
	Group   string   `placeholder:"NAME" help:"Only events of this group."`
	Host    string   `placeholder:"NAME" help:"Only events of this host."`
	Domain  string   `placeholder:"NAME" help:"Only events of this failure domain or fabric domain."`
	Change  string   `placeholder:"ID" help:"Only events of this change."`
	Limit   int      `default:"1000" help:"Maximum number of newest events from each process; 0 means all."`
	Files   []string `name:"file" predictor:"file" sep:"none" placeholder:"FILE" help:"Read events from this timeline file of a process instead of asking servers."`
	HTML    string   `type:"path" placeholder:"FILE" help:"Write a self-contained page with one lane per process instead of text."`
}

// Help implements kong.HelpProvider.
func (*timelineCommand) Help() string {
	return `Queries every process that the leader knows, and the servers in the settings. Without
a leader it shows the events of the processes that answer.

Examples:
  sesamectl timeline --domain fd-a
  sesamectl timeline --request r-81f3 -o json
  sesamectl timeline --html timeline.html
  sesamectl timeline --file k1/timeline.jsonl --file g1/timeline.jsonl`
}

func (c *timelineCommand) filter() timeline.Filter {
	return timeline.Filter{Request: c.Request, Group: c.Group, Host: c.Host, Domain: c.Domain, Change: c.Change}
}

// Run implements the command.
func (c *timelineCommand) Run(s *session) error {
	events, err := c.events(s)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		return c.writePage(s, events)
	}
	if s.wantsJSON() {
		return writeJSON(s.env.Stdout, events)
	}
	return timeline.WriteText(s.env.Stdout, events)
}

func (c *timelineCommand) events(s *session) ([]timeline.Event, error) {
	if len(c.Files) == 0 {
		return c.queryProcesses(s)
	}
	lists := make([][]timeline.Event, 0, len(c.Files))
	for _, f := range c.Files {
		events, err := timeline.ReadFile(f)
		if err != nil {
			return nil, err
		}
		lists = append(lists, timeline.Select(events, c.filter()))
	}
	return timeline.Merge(lists...), nil
}

// queryProcesses collects the events of all processes.
func (c *timelineCommand) queryProcesses(s *session) ([]timeline.Event, error) {
	if err := s.connect(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Timeout)
	defer cancel()
	var lists [][]timeline.Event
	for _, address := range s.processAddresses() {
		var result control.TimelineResult
		err := s.client.callServer(ctx, address, control.MethodTimeline, control.TimelineRequest{Filter: c.filter(), Limit: c.Limit}, &result)
		if err != nil {
			s.progress("%s did not answer: %s", address, shortError(err))
			continue
		}
		lists = append(lists, result.Events)
	}
	if len(lists) == 0 {
		return nil, &Failure{Code: ExitUnavailable, Message: "no process answered", Hint: "check the servers (--servers), or read their timeline files with --file"}
	}
	return timeline.Merge(lists...), nil
}

// processAddresses returns the addresses of all known processes.
func (s *session) processAddresses() []string {
	list := slices.Clone(s.settings.Servers)
	add := func(address string) {
		if address != "" && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	status, err := s.status()
	if err != nil {
		s.progress("asking the leader for further processes failed: %v", err)
	}
	for _, k := range status.Keepers {
		add(k.Address)
	}
	for _, g := range status.Gates {
		add(g.Gate.RPCAddress)
	}
	return list
}

func (c *timelineCommand) writePage(s *session, events []timeline.Event) error {
	f, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	err = timeline.WriteHTML(f, events)
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	return s.print(struct {
		File   string `json:"file"`
		Events int    `json:"events"`
	}{c.HTML, len(events)}, func(w io.Writer) { printLine(w, "%s: %d events", c.HTML, len(events)) })
}
