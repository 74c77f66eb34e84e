package ctl

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// statusCommand shows the state of the deployment.
type statusCommand struct {
	Domain string `placeholder:"NAME" help:"Only gates, groups and hosts of this failure domain."`
	Short  bool   `help:"Omit the tables of gates, groups and hosts."`
}

// Help implements kong.HelpProvider.
func (*statusCommand) Help() string {
	return `Examples:
  sesamectl status
  sesamectl status --domain fd-a
  sesamectl status --short -o json`
}

// Run implements the command.
func (c *statusCommand) Run(s *session) error {
	status, err := s.status()
	if err != nil {
		return err
	}
	if c.Domain != "" {
		filterDomain(&status, c.Domain)
	}
	if c.Short {
		status.Gates, status.Groups, status.Hosts, status.Shares = nil, nil, nil, nil
	}
	return s.print(status, func(w io.Writer) { c.write(w, status) })
}

// filterDomain removes the gates, groups and hosts of other failure domains, and the shares of
// targets that were removed.
func filterDomain(st *control.Status, domain string) {
	st.Gates = slices.DeleteFunc(st.Gates, func(g control.GateStatus) bool { return g.Gate.FailureDomain != domain })
	st.Groups = slices.DeleteFunc(st.Groups, func(g view.Group) bool { return g.FailureDomain != domain })
	st.Hosts = slices.DeleteFunc(st.Hosts, func(h view.Host) bool { return h.FailureDomain != domain })
	targets := make(map[view.TargetID]bool)
	for _, g := range st.Groups {
		targets[view.GroupTarget(g.ID)] = true
	}
	for _, h := range st.Hosts {
		targets[view.HostTarget(h.Name)] = true
	}
	st.Shares = slices.DeleteFunc(st.Shares, func(s view.Share) bool { return !targets[s.Target] })
}

func (s *session) status() (control.Status, error) {
	var status control.Status
	err := s.read(control.MethodStatus, struct{}{}, &status)
	return status, err
}

func (c *statusCommand) write(w io.Writer, st control.Status) {
	printLine(w, "leader    %s, %d keepers", orDash(st.Leader), len(st.Keepers))
	printLine(w, "objects   revision %d", st.ObjectRevision)
	printLine(w, "view      revision %d, in force everywhere up to %d", st.ViewRevision, st.Barrier)
	printLine(w, "downtime  %s summed over groups, %d stranded hosts", time.Duration(st.GroupDowntimeMS)*time.Millisecond, st.StrandedHosts)
	for _, d := range st.Drains {
		printLine(w, "drained   %s %s since %s", d.Kind, d.Name, time.Unix(0, int64(d.Since)).UTC().Format(time.RFC3339))
	}
	if c.Short {
		return
	}
	if c.Domain != "" {
		printLine(w, "shown     %d gates, %d groups, %d hosts of %s", len(st.Gates), len(st.Groups), len(st.Hosts), c.Domain)
	}
	writeGates(w, st)
	writeGroups(w, st.Groups)
	writeHosts(w, st.Hosts)
}

func writeGates(w io.Writer, st control.Status) {
	printLine(w, "")
	t := newTable(w, "GATE\tDOMAIN\tIN FORCE\tLEASE")
	for _, g := range st.Gates {
		lease := fmt.Sprintf("%dms", g.LeaseLeftMS)
		if g.LeaseLeftMS < 0 {
			lease = "lapsed"
		}
		t.row("%s\t%s\t%d\t%s", g.Gate.Name, g.Gate.FailureDomain, g.InForce, lease)
	}
	t.flush()
}

func writeGroups(w io.Writer, groups []view.Group) {
	printLine(w, "")
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
	t.flush()
}

func writeHosts(w io.Writer, hosts []view.Host) {
	printLine(w, "")
	t := newTable(w, "HOST\tKIND\tDOMAIN\tADDRESS\tSTATE")
	for _, h := range hosts {
		t.row("%s\t%s\t%s\t%s\t%s", h.Name, hostKind(h), h.FailureDomain, h.Address, hostState(h))
	}
	t.flush()
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
