package serviceproxy

import (
	"context"
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

const (
	// awaitTimeout limits how long a resend waits for the attempt in progress.
	awaitTimeout    = 2 * time.Second
	awaitFirstDelay = 50 * time.Millisecond // before the first check; doubles each time
)

// awaitInProgress polls the record of a key in progress until its attempt has ended or
// awaitTimeout has passed. It never claims the key.
func (p *Proxy) awaitInProgress(ctx context.Context, c *call, i once.Intent) result {
	i.LookupOnly = true
	delay := awaitFirstDelay
	for began := time.Now(); time.Since(began) < awaitTimeout && p.sleep(ctx, delay); delay *= 2 {
		d, err := p.recordIntent(ctx, i)
		if err != nil {
			break
		}
		switch d.Kind {
		case once.InProgress:
		case once.Absent:
			return result{refused: refuseNotRun(http.StatusServiceUnavailable, outcome.ReasonUpstreamFailed, "another attempt of this key did not run").withRetryAfter(awaitFirstDelay)}
		default:
			return p.handleDecision(ctx, c, i, d)
		}
	}
	return result{refused: refuseWith(http.StatusConflict, outcome.Unknown, outcome.ReasonInProgress, "another attempt of this key is in progress").withRetryAfter(shortRetryAfter)}
}
