package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// statusCommand shows the state.
type statusCommand struct{}

// Help implements kong.HelpProvider.
func (*statusCommand) Help() string {
	return `Examples:
  sesamectl status
  sesamectl status -o json`
}

// Run implements the command.
func (*statusCommand) Run(s *session) error {
	status, err := s.status()
	if err != nil {
		return err
	}
	return s.print(status, func(w io.Writer) { writeStatus(w, status) })
}

func (s *session) status() (control.Status, error) {
	var status control.Status
	err := s.read(control.MethodStatus, struct{}{}, &status)
	return status, err
}

func writeStatus(w io.Writer, st control.Status) {
	say(w, "leader    %s, %d keepers", orDash(st.Leader), len(st.Keepers))
	say(w, "objects   revision %d", st.ObjectRevision)
	say(w, "view      revision %d, in force everywhere up to %d", st.ViewRevision, st.Barrier)
	say(w, "groups    %d, down for %s in all, %d stranded hosts", len(st.Groups), time.Duration(st.DowntimeMS)*time.Millisecond, st.StrandedHosts)
	for _, d := range st.Drains {
		say(w, "drained   %s %s since %s", d.Kind, d.Name, time.Unix(0, int64(d.Since)).UTC().Format(time.RFC3339))
	}
	writeGates(w, st)
	writeGroups(w, st.Groups)
	writeHosts(w, st.Hosts)
}

func writeGates(w io.Writer, st control.Status) {
	say(w, "")
	t := newTable(w, "GATE\tDOMAIN\tIN FORCE\tLEASE")
	for _, g := range st.Gates {
		lease := fmt.Sprintf("%dms", g.LeaseLeftMS)
		if g.LeaseLeftMS < 0 {
			lease = "lapsed"
		}
		t.row("%s\t%s\t%d\t%s", g.Gate.Name, g.Gate.FailureDomain, g.InForce, lease)
	}
	t.end()
}

func writeGroups(w io.Writer, groups []view.Group) {
	say(w, "")
	t := newTable(w, "GROUP\tSTATE\tVERSION\tDOMAIN\tFABRIC\tMEMBERS")
	for _, g := range groups {
		state := string(g.State)
		if g.Draining {
			state += " (draining)"
		}
		members := ""
		for i, m := range g.Members {
			if i > 0 {
				members += " "
			}
			members += string(m.Host)
		}
		t.row("%s\t%s\t%s\t%s\t%s\t%s", g.ID, state, g.Version, g.FailureDomain, g.FabricDomain, members)
	}
	t.end()
}

func writeHosts(w io.Writer, hosts []view.Host) {
	say(w, "")
	t := newTable(w, "HOST\tKIND\tDOMAIN\tADDRESS\tSTATE")
	for _, h := range hosts {
		t.row("%s\t%s\t%s\t%s\t%s", h.Name, hostKind(h), h.FailureDomain, h.Address, hostState(h))
	}
	t.end()
}

func hostKind(h view.Host) string {
	if h.Service != "" {
		return string(h.Kind) + " " + h.Service
	}
	return string(h.Kind)
}

func hostState(h view.Host) string {
	switch {
	case h.Leaving:
		return "leaving"
	case h.Drained:
		return "drained"
	}
	return "in service"
}
