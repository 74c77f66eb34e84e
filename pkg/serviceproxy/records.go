package serviceproxy

import (
	"context"
	"errors"
	"time"

	"github.com/sesamemux/sesamemux/pkg/once"
)

const (
	recordTimeout = 3 * time.Second        // for the tries while the caller waits
	recordPause   = 100 * time.Millisecond // before the second try; doubles up to recordMaxPause
	// recordMaxPause and laterTimeout bound the tries in the background.
	recordMaxPause = 2 * time.Second
	laterTimeout   = 50 * time.Second
)

func isNotRecorded(err error) bool { return errors.Is(err, once.ErrNotRecorded) }

// intend records an intent. While it is unknown whether that succeeded the
// same intent is sent again.
func (p *Proxy) intend(ctx context.Context, i once.Intent) (once.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	pause := recordPause
	unknown := false
	for {
		d, err := p.config.Records.Intend(ctx, i)
		if err == nil {
			return d, nil
		}
		p.metrics.failures.WithLabelValues("intent").Inc()
		unknown = unknown || !isNotRecorded(err)
		if !p.pause(ctx, pause) {
			if unknown {
				return once.Decision{}, once.ErrRecordUnknown
			}
			return once.Decision{}, err
		}
		pause = min(2*pause, recordMaxPause)
	}
}

// conclude records how an attempt ended, and tells whether that is done. If
// not, it is tried on in the background.
func (p *Proxy) conclude(ctx context.Context, c once.Conclusion) bool {
	limited, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if p.tryConclude(limited, c) {
		return true
	}
	p.concludeLater(c)
	return false
}

// tryConclude tries until the context ends.
func (p *Proxy) tryConclude(ctx context.Context, c once.Conclusion) bool {
	pause := recordPause
	for {
		err := p.config.Records.Conclude(ctx, c)
		if err == nil {
			p.timeline.Record(Event{Kind: EventConclude, Request: c.Attempt, Organisation: c.Organisation, Service: c.Service, Outcome: c.Outcome})
			return true
		}
		p.metrics.failures.WithLabelValues("conclusion").Inc()
		p.log.Warn("outcome not recorded", "attempt", c.Attempt, "outcome", c.Outcome, "err", err)
		if !p.pause(ctx, pause) {
			return false
		}
		pause = min(2*pause, recordMaxPause)
	}
}

// concludeLater tries on in the background. Without a free slot, and after
// laterTimeout, the record is left to its deadline.
func (p *Proxy) concludeLater(c once.Conclusion) {
	select {
	case p.pending <- struct{}{}:
	default:
		p.log.Error("outcome given up: too many are pending", "attempt", c.Attempt, "outcome", c.Outcome)
		return
	}
	p.metrics.pending.Inc()
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		defer func() { <-p.pending }()
		defer p.metrics.pending.Dec()
		ctx, cancel := context.WithTimeout(p.stopped, laterTimeout)
		defer cancel()
		if !p.tryConclude(ctx, c) {
			p.log.Error("outcome given up", "attempt", c.Attempt, "outcome", c.Outcome)
		}
	}()
}

// pause waits, and returns false if the context ends first.
func (p *Proxy) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
