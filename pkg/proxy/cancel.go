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
	cancelTimeout       = time.Second
	cancelRetryInterval = time.Second
)

// cancelOrHoldPermit handles an attempt whose connection failed while it may be running.
// It asks the engine over a new connection to cancel the attempt. If the engine confirms,
// the permit is released and only the connection was at fault. If the process is gone,
// nothing is running. Otherwise the permit is held until one of the two is known, or
// until the longest request time has passed.
func (p *Proxy) cancelOrHoldPermit(q *queue, c *call, g grant, cause error) {
	end := permit.EndFailed
	if errors.Is(cause, upstream.ErrStalled) {
		end = permit.EndInconclusive
	}
	key := infer.Cancel{Request: c.id, Attempt: c.attempt}
	if p.options.Unsafe.ReleasePermitsEarly || p.cancel(g.dest, key) {
		q.releasePermit(g.permit, end)
		return
	}
	c.excludeTarget(g.dest.target)
	if p.targetCrashed(g.dest) {
		c.crashes++
		q.releasePermit(g.permit, permit.EndFailed)
		return
	}
	p.config.Permits.Suspect(g.dest.target, g.dest.head.Incarnation)
	p.targets.markUnreachable(g.dest.head)
	p.active.Add(1)
	go p.holdPermit(q, g, key, permit.EndFailed)
}

// cancelInBackground cancels an attempt whose caller no longer waits.
func (p *Proxy) cancelInBackground(q *queue, g grant, key infer.Cancel) {
	if p.options.Unsafe.ReleasePermitsEarly {
		q.releasePermit(g.permit, permit.EndInconclusive)
		return
	}
	p.active.Add(1)
	go p.holdPermit(q, g, key, permit.EndInconclusive)
}

func (p *Proxy) targetCrashed(dst destination) bool {
	p.targets.mu.Lock()
	defer p.targets.mu.Unlock()
	return p.targets.hasCrashed(dst.head)
}

// holdPermit holds a permit until its attempt is known to have ended, or until the longest
// request time has passed.
func (p *Proxy) holdPermit(q *queue, g grant, key infer.Cancel, end permit.End) {
	defer p.active.Add(-1)
	until := time.Now().Add(p.options.MaxRequestTime)
	for !p.cancel(g.dest, key) && !p.targetCrashed(g.dest) && time.Now().Before(until) {
		time.Sleep(cancelRetryInterval)
	}
	q.releasePermit(g.permit, end)
}

// cancel asks the engine over a new connection to cancel an attempt. It returns true if
// the attempt no longer runs on that incarnation.
func (p *Proxy) cancel(dst destination, key infer.Cancel) bool {
	body, err := json.Marshal(key)
	if err != nil {
		return false
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	res, err := p.engines.Do(ctx, &upstream.Request{
		Address:       dst.head.Address,
		Incarnation:   p.incarnation(&dst),
		Method:        http.MethodPost,
		Path:          infer.CancelPath,
		Header:        http.Header{"Content-Type": {"application/json"}},
		Body:          body,
		NewConnection: true,
	})
	if err != nil {
		p.checkForCrash(dst, err)
		return false
	}
	defer res.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return false
	}
	return res.Status == http.StatusOK
}

// checkForCrash reports a crash if a connection error proves one: another incarnation
// answers, or the connection is refused.
func (p *Proxy) checkForCrash(dst destination, err error) {
	if errors.Is(err, upstream.ErrIncarnationMismatch) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrClosed) {
		p.reportCrash(dst)
	}
}

// reportCrash records and reports that the process at the head of a group is gone.
func (p *Proxy) reportCrash(dst destination) {
	p.config.Permits.Suspect(dst.target, dst.head.Incarnation)
	p.engines.CloseIdleTo(dst.head.Address)
	if !p.targets.recordCrash(dst.head) {
		return
	}
	p.log.Warn("upstream process is gone", "host", dst.head.Host, "incarnation", dst.head.Incarnation, "group", dst.group.ID)
	p.config.Recorder.Record(eventGone, "host", dst.head.Host, "incarnation", dst.head.Incarnation, "group", dst.group.ID)
	p.config.OnCrash(CrashReport{Host: dst.head.Host, Incarnation: dst.head.Incarnation, Group: dst.group.ID})
}
