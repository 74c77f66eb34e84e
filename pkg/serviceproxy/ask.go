package serviceproxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/ask"
	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	askTimeout = 2 * time.Second
	askTries   = 3
	askPause   = 200 * time.Millisecond
)

// askOwn asks how this gate's own attempt ended, and settles it if the
// service knows.
func (p *Proxy) askOwn(ctx context.Context, c *call, i once.Intent) (result, bool) {
	reply, ok := p.ask(ctx, c, i)
	if !ok {
		return result{}, false
	}
	if reply.Outcome == outcome.NotRun {
		pending := !p.conclude(ctx, conclusion(i, outcome.NotRun, nil))
		return result{pending: pending, refused: notRun(http.StatusServiceUnavailable, outcome.ReasonUpstreamFailed, "the service broke off and says that it did not run").after(retrySoon)}, true
	}
	a := p.toldAnswer(reply)
	r := recorded(a)
	r.replayed = false
	r.pending = !p.conclude(ctx, conclusion(i, outcome.Ran, a))
	return r, true
}

// settle asks how the attempt behind a record of unknown outcome ended, and
// replies with what is known.
func (p *Proxy) settle(ctx context.Context, c *call, i once.Intent, d once.Decision) result {
	unknown := result{refused: refuseWith(http.StatusConflict, outcome.Unknown, outcome.ReasonNotRepeated, "it may have run; it is not repeated")}
	i.Attempt, i.Host = d.Attempt, d.Host
	reply, ok := p.ask(ctx, c, i)
	if !ok {
		return unknown
	}
	told := conclusion(i, reply.Outcome, nil)
	told.Asked = true
	if reply.Outcome == outcome.NotRun {
		pending := !p.conclude(ctx, told)
		return result{pending: pending, refused: notRun(http.StatusServiceUnavailable, outcome.ReasonUpstreamFailed, "the service says that the call did not run").after(retrySoon)}
	}
	told.Answer = p.toldAnswer(reply)
	r := recorded(told.Answer)
	r.pending = !p.conclude(ctx, told)
	return r
}

// ask asks a service how the attempt of an intent ended, if it can be asked.
// Only the host that the call went to can say that it did not run, and only if
// it will not run it later either; any host may say that it ran.
func (p *Proxy) ask(ctx context.Context, c *call, i once.Intent) (ask.Reply, bool) {
	if c.service.OutcomePath == "" {
		return ask.Reply{}, false
	}
	for try := range askTries {
		if try > 0 {
			p.pause(ctx, askPause)
		}
		for _, h := range p.askable(c.name, i.Host) {
			reply, err := p.askHost(ctx, c, i, h)
			if err != nil {
				p.log.Debug("outcome not told", "request", c.id, "host", h.Name, "err", err)
				continue
			}
			p.event(EventAsk, c, h.Name, reply.Outcome)
			p.metrics.asked.WithLabelValues(c.service.Name, string(reply.Outcome)).Inc()
			if reply.Outcome == outcome.Ran || reply.Outcome == outcome.NotRun && reply.Final && h.Name == i.Host {
				return reply, true
			}
		}
	}
	return ask.Reply{}, false
}

// askable returns the hosts that may know: first the one that the call went
// to, also if it takes no new work.
func (p *Proxy) askable(service string, host view.HostName) []view.Host {
	var hosts []view.Host
	if h, ok := p.config.View().Hosts.Get(host); ok && h.Service == service {
		hosts = append(hosts, h)
	}
	for _, h := range p.hosts(service) {
		if h.Name != host {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (p *Proxy) askHost(ctx context.Context, c *call, i once.Intent, h view.Host) (ask.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	path, raw := ask.Path(c.service.OutcomePath, i.Key)
	resp, err := p.transport.Do(ctx, &plaincall.Request{
		Address: h.Address,
		Method:  http.MethodGet,
		Path:    path,
		RawPath: raw,
		Header: http.Header{
			ask.HeaderOrganisation: {c.organisation},
			ask.HeaderAttempt:      {i.Attempt},
		},
	}, func() error { return nil })
	if err != nil {
		return ask.Reply{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ask.Reply{}, eris.Wrapf(errBadReply, "status %d", resp.StatusCode)
	}
	var reply ask.Reply
	if err := json.NewDecoder(io.LimitReader(resp.Body, p.config.MaxAnswerBytes)).Decode(&reply); err != nil {
		return ask.Reply{}, eris.Wrap(errBadReply, err.Error())
	}
	if !reply.Outcome.Valid() {
		return ask.Reply{}, eris.Wrapf(errBadReply, "outcome %q", reply.Outcome)
	}
	return reply, nil
}

// toldAnswer returns the answer that a service told of.
func (p *Proxy) toldAnswer(r ask.Reply) *once.Answer {
	status := r.Status
	if status == 0 {
		status = http.StatusOK
	}
	h := make(http.Header)
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	return toRecord(status, h, r.Body, int64(len(r.Body)))
}
