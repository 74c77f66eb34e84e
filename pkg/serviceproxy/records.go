package serviceproxy

import (
	"context"
	"errors"
	"time"

	"github.com/sesamemux/sesamemux/pkg/once"
)

const (
	recordTimeout    = 3 * time.Second        // for all tries while the caller waits
	recordRetryDelay = 100 * time.Millisecond // before the second try; doubles up to recordMaxRetryDelay
	// recordMaxRetryDelay and backgroundTimeout limit the retries in the background.
	recordMaxRetryDelay = 2 * time.Second
	backgroundTimeout   = 50 * time.Second
)

func isNotRecorded(err error) bool { return errors.Is(err, once.ErrNotRecorded) }

// recordIntent records an intent, retrying until recordTimeout. It returns
// once.ErrRecordUnknown if the intent may have been recorded nevertheless.
func (p *Proxy) recordIntent(ctx context.Context, i once.Intent) (once.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	delay := recordRetryDelay
	unknown := false
	for {
		d, err := p.config.Records.Intend(ctx, i)
		if err == nil {
			return d, nil
		}
		p.metrics.failures.WithLabelValues("intent").Inc()
		unknown = unknown || !isNotRecorded(err)
		if !p.sleep(ctx, delay) {
			if unknown {
				return once.Decision{}, once.ErrRecordUnknown
			}
			return once.Decision{}, err
		}
		delay = min(2*delay, recordMaxRetryDelay)
	}
}

// recordConclusion records how an attempt ended and reports whether that succeeded. If not,
// it continues in the background.
func (p *Proxy) recordConclusion(ctx context.Context, c once.Conclusion) bool {
	limited, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if p.retryConclusion(limited, c) {
		return true
	}
	p.concludeInBackground(c)
	return false
}

// retryConclusion tries to record a conclusion until it succeeds or the context ends.
func (p *Proxy) retryConclusion(ctx context.Context, c once.Conclusion) bool {
	delay := recordRetryDelay
	for {
		err := p.config.Records.Conclude(ctx, c)
		if err == nil {
			p.timeline.Record(Event{Kind: EventConclude, Request: c.Attempt, Organisation: c.Organisation, Service: c.Service, Outcome: c.Outcome})
			return true
		}
		p.metrics.failures.WithLabelValues("conclusion").Inc()
		p.log.Warn("failed to record outcome", "attempt", c.Attempt, "outcome", c.Outcome, "err", err)
		if !p.sleep(ctx, delay) {
			return false
		}
		delay = min(2*delay, recordMaxRetryDelay)
	}
}

// concludeInBackground records a conclusion in the background. Without a free slot, or after
// backgroundTimeout, it gives up, and the record remains in progress until its own deadline.
func (p *Proxy) concludeInBackground(c once.Conclusion) {
	select {
	case p.pendingSlots <- struct{}{}:
	default:
		p.log.Error("outcome not recorded: too many outcomes are pending", "attempt", c.Attempt, "outcome", c.Outcome)
		return
	}
	p.metrics.pendingConclusions.Inc()
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		defer func() { <-p.pendingSlots }()
		defer p.metrics.pendingConclusions.Dec()
		ctx, cancel := context.WithTimeout(p.stopCtx, backgroundTimeout)
		defer cancel()
		if !p.retryConclusion(ctx, c) {
			p.log.Error("outcome not recorded: gave up after retries", "attempt", c.Attempt, "outcome", c.Outcome)
		}
	}()
}

// sleep waits for d and returns false if the context ends first.
func (p *Proxy) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
