package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

const (
	cancelTimeout = time.Second
	lingerRetry   = time.Second
)

// settle ends an attempt whose connection failed while it may run. Over a
// fresh connection the engine is told to cancel it: then the permit is free
// and only the connection is to blame. If the process is gone, nothing runs.
// Otherwise the permit is kept until one of these is known or the longest
// request time is over.
func (p *Proxy) settle(q *queue, c *call, g grant, cause error) {
	end := permit.EndFailed
	if errors.Is(cause, upstream.ErrStalled) {
		end = permit.EndNotProven
	}
	key := infer.Cancel{Request: c.id, Attempt: c.attempt}
	if p.options.Unsafe.ReleasePermitsEarly || p.cancel(g.place, key) {
		q.giveBack(g.permit, end)
		return
	}
	c.exclude(g.place.target)
	if p.targetDead(g.place) {
		c.crashes++
		q.giveBack(g.permit, permit.EndFailed)
		return
	}
	p.config.Permits.Suspect(g.place.target, g.place.head.Incarnation)
	p.targets.avoid(g.place.head)
	p.active.Add(1)
	go p.linger(q, g, key, permit.EndFailed)
}

// settleLater ends an attempt whose caller waits no more.
func (p *Proxy) settleLater(q *queue, g grant, key infer.Cancel) {
	if p.options.Unsafe.ReleasePermitsEarly {
		q.giveBack(g.permit, permit.EndNotProven)
		return
	}
	p.active.Add(1)
	go p.linger(q, g, key, permit.EndNotProven)
}

func (p *Proxy) targetDead(at place) bool {
	p.targets.mu.Lock()
	defer p.targets.mu.Unlock()
	return p.targets.dead(at.head)
}

// linger keeps a permit until its attempt is known to have ended.
func (p *Proxy) linger(q *queue, g grant, key infer.Cancel, end permit.End) {
	defer p.active.Add(-1)
	until := time.Now().Add(p.options.MaxRequestTime)
	for !p.cancel(g.place, key) && !p.targetDead(g.place) && time.Now().Before(until) {
		time.Sleep(lingerRetry)
	}
	q.giveBack(g.permit, end)
}

// cancel asks the engine on a fresh connection to end an attempt. It returns
// true when nothing of it runs any more on that incarnation.
func (p *Proxy) cancel(at place, key infer.Cancel) bool {
	body, err := json.Marshal(key)
	if err != nil {
		return false
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	res, err := p.engines.Do(ctx, &upstream.Request{
		Address:       at.head.Address,
		Incarnation:   p.incarnation(&at),
		Method:        http.MethodPost,
		Path:          infer.CancelPath,
		Header:        http.Header{"Content-Type": {"application/json"}},
		Body:          body,
		NewConnection: true,
	})
	if err != nil {
		p.unreachable(at, err)
		return false
	}
	defer res.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return false
	}
	return res.Status == http.StatusOK
}

// unreachable notes a crash where a failed connection proves one: another
// incarnation answers, or nothing listens at the address.
func (p *Proxy) unreachable(at place, err error) {
	if errors.Is(err, upstream.ErrIncarnationMismatch) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrClosed) {
		p.crashed(at)
	}
}

// crashed notes that the process at a place is gone.
func (p *Proxy) crashed(at place) {
	p.config.Permits.Suspect(at.target, at.head.Incarnation)
	p.engines.CloseIdleTo(at.head.Address)
	if !p.targets.crash(at.head) {
		return
	}
	p.log.Warn("upstream is gone", "host", at.head.Host, "incarnation", at.head.Incarnation, "group", at.group.ID)
	p.config.Recorder.Record(eventGone, "host", at.head.Host, "incarnation", at.head.Incarnation, "group", at.group.ID)
	p.config.OnCrash(CrashReport{Host: at.head.Host, Incarnation: at.head.Incarnation, Group: at.group.ID})
}
