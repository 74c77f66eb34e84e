package coordinator

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/durable"
)

const (
	// touchTimeout is how long after its last sync call an entry host counts as in touch: longer than
	// its longest time between calls and the way of a report to the leader.
	touchTimeout = 1800 * time.Millisecond
	// inForceTimeout is how long after its commit a change waits for entry hosts that are in touch and
	// do not confirm it.
	inForceTimeout = 2500 * time.Millisecond
	// maxNamedLaggards bounds the entry hosts that a log line names.
	maxNamedLaggards = 5
)

// changeKeys identifies a change, and the one that it takes back, if any.
func changeKeys(command durable.Command) (key, undone string) {
	switch {
	case command.Document != nil:
		return "document " + strconv.FormatInt(command.Document.Version, 10), ""
	case command.Evacuate != "":
		return "evacuate " + command.Evacuate, "restore " + command.Evacuate
	case command.Restore != "":
		return "restore " + command.Restore, "evacuate " + command.Restore
	}
	for _, d := range command.Depart {
		key += "depart " + d.ID + " " + strconv.FormatInt(d.StartedMS, 10) + " " + string(d.State()) + " "
	}
	return key, ""
}

// awaitInForce waits until a committed change is in force at all entry hosts in touch. Its
// acknowledgement promises that.
func (c *Coordinator) awaitInForce(ctx context.Context, command durable.Command) error {
	key, undone := changeKeys(command)
	version := int64(-1)
	if command.Document != nil {
		version = command.Document.Version
	}
	var change *pendingChange
	for {
		c.mu.Lock()
		l, r := c.leadership, c.replica.Load()
		if l == nil || r == nil {
			c.mu.Unlock()
			return eris.Wrap(ErrUnavailable, "the change is committed; this coordinator does not know yet where it is in force")
		}
		now := c.now()
		if change == nil || l.changes[key] != change {
			change = l.pendingChange(now, key, version, r.store)
			delete(l.changes, undone)
		}
		lagging := l.lagging(now, change)
		if change.done || c.completeChange(now, l, change, lagging) {
			c.mu.Unlock()
			return nil
		}
		confirmed := l.confirmations.wait()
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return eris.Wrapf(ErrUnavailable, "the change is committed, but not in force at %d entry hosts: %s", len(lagging), named(lagging))
		case <-confirmed:
		case <-time.After(tickInterval):
		}
	}
}

// completeChange reports whether a change can be acknowledged. The caller holds the lock.
func (c *Coordinator) completeChange(now time.Duration, l *leadership, change *pendingChange, lagging []string) bool {
	took := now - change.committedAt
	switch {
	case now-l.since < touchTimeout:
		return false // entry hosts in touch may not have called yet
	case len(lagging) == 0:
		c.metrics.InForce.WithLabelValues("everywhere").Observe(took.Seconds())
	case took > inForceTimeout:
		c.metrics.InForce.WithLabelValues("given up").Observe(took.Seconds())
		c.cfg.Logger.Warn("change is acknowledged although entry hosts have not confirmed it", "change", change.key, "index", change.index,
			"ms", took.Milliseconds(), "entry_hosts", len(lagging), "lagging", named(lagging))
	default:
		return false
	}
	change.done = true
	return true
}

// lagging returns the entry hosts in touch that have not confirmed a change, sorted. The caller holds
// the lock.
func (l *leadership) lagging(now time.Duration, change *pendingChange) []string {
	var names []string
	for name, p := range l.processes {
		if !p.request.EntryHost || l.outOfTouch(now, p) {
			continue
		}
		if p.confirmed.Index < change.index || p.request.InForce != nil && p.confirmed.InForce < change.version {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// outOfTouch reports whether an entry host is known to be silent. If the coordinator that it calls is
// silent itself, nothing is known. The caller holds the lock.
func (l *leadership) outOfTouch(now time.Duration, p *processSync) bool {
	if now-p.receivedAt <= touchTimeout {
		return false
	}
	server := l.processes[p.server]
	return p.server == "" || server != nil && now-server.receivedAt < serverTimeout
}

// named names some entry hosts.
func named(names []string) string {
	if len(names) > maxNamedLaggards {
		return strings.Join(names[:maxNamedLaggards], ", ") + " and others"
	}
	return strings.Join(names, ", ")
}
