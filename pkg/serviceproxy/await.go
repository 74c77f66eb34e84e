package serviceproxy

import (
	"context"
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

const (
	// awaitTime is how long a resend waits for the attempt in progress.
	awaitTime  = 2 * time.Second
	awaitPause = 50 * time.Millisecond // before the first look; doubles
)

// await looks at a key in progress until its attempt has ended or awaitTime
// has passed. It never takes the key.
func (p *Proxy) await(ctx context.Context, c *call, i once.Intent) result {
	i.LookupOnly = true
	pause := awaitPause
	for began := time.Now(); time.Since(began) < awaitTime && p.pause(ctx, pause); pause *= 2 {
		d, err := p.intend(ctx, i)
		if err != nil {
			break
		}
		switch d.Kind {
		case once.InProgress:
		case once.Absent:
			return result{refused: notRun(http.StatusServiceUnavailable, outcome.ReasonUpstreamFailed, "another attempt of this key did not run").after(awaitPause)}
		default:
			return p.decided(ctx, c, i, d)
		}
	}
	return result{refused: refuseWith(http.StatusConflict, outcome.Unknown, outcome.ReasonInProgress, "another attempt of this key is in progress").after(retrySoon)}
}
