package serviceproxy

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/http"

	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// serveOnce runs a once-only call to its end, even if the caller disconnects: the record
// then holds the answer for the caller's resend.
func (p *Proxy) serveOnce(w http.ResponseWriter, r *http.Request, c *call) {
	key, refused := c.idempotencyKey()
	if refused != nil {
		p.refuse(w, c, refused)
		return
	}
	if !p.beginOnceOnly() {
		p.refuse(w, c, refuseNotRun(http.StatusServiceUnavailable, outcome.ReasonShuttingDown, "this gate is shutting down").withRetryAfter(shortRetryAfter))
		return
	}
	defer p.background.Done()
	ctx := context.WithoutCancel(r.Context())
	p.reply(w, c, p.runOnce(ctx, c, key))
}

// idempotencyKey returns the caller's idempotency key.
func (c *call) idempotencyKey() (string, *refusal) {
	values := c.header.Values(c.service.KeyHeader)
	switch {
	case len(values) == 0 || values[0] == "":
		return "", refuseNotRun(http.StatusBadRequest, outcome.ReasonKeyMissing, "a once-only call requires the header "+c.service.KeyHeader)
	case len(values) > 1:
		return "", refuseNotRun(http.StatusBadRequest, outcome.ReasonInvalid, "there is more than one header "+c.service.KeyHeader)
	case len(values[0]) > once.MaxKeyBytes:
		return "", refuseNotRun(http.StatusBadRequest, outcome.ReasonInvalid, fmt.Sprintf("the idempotency key exceeds %d bytes", once.MaxKeyBytes))
	}
	return values[0], nil
}

// digest returns a hash of the call's method, path, query and body. A key used with
// another digest is a different request.
func (c *call) digest() string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s?%s\n", c.method, c.path, c.rawQuery)
	h.Write(c.body)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// runOnce tries up to maxHosts hosts until one has run, or may have run, the call.
func (p *Proxy) runOnce(ctx context.Context, c *call, key string) result {
	var tried []view.HostName
	for attempt := 1; ; attempt++ {
		i := p.intent(c, key, attempt)
		target, ok, anyHost := p.acquireHost(c.name, tried)
		if !ok {
			return p.answerFromRecord(ctx, c, i, refuseNoHost(anyHost || len(tried) > 0, outcome.NotRun))
		}
		tried = append(tried, target.host.Name)
		i.Host = target.host.Name
		res, again := p.attemptOnce(ctx, c, i, target)
		target.release(permit.EndInconclusive)
		if !again || len(tried) == maxHosts {
			return res
		}
	}
}

func (p *Proxy) intent(c *call, key string, attempt int) once.Intent {
	return once.Intent{
		Organisation:    c.organisation,
		Service:         c.name,
		Key:             key,
		Digest:          c.digest(),
		Gate:            p.config.Gate,
		GateIncarnation: p.config.Incarnation,
		Attempt:         fmt.Sprintf("%s.%d", c.id, attempt),
	}
}

// answerFromRecord answers a call for which no host is available from its record, and
// refuses the call if there is no record.
func (p *Proxy) answerFromRecord(ctx context.Context, c *call, i once.Intent, refused *refusal) result {
	i.LookupOnly = true
	d, err := p.recordIntent(ctx, i)
	if err != nil || d.Kind == once.Absent {
		return result{refused: refused}
	}
	return p.handleDecision(ctx, c, i, d)
}

// attemptOnce records the intent and sends the call to one host. Its second result is true
// if the call did not run there and another host may be tried.
func (p *Proxy) attemptOnce(ctx context.Context, c *call, i once.Intent, target hostPermit) (result, bool) {
	if !p.config.Unsafe.NoIntent {
		d, err := p.recordIntent(ctx, i)
		if err != nil {
			return p.refuseUnrecorded(i, err), false
		}
		if d.Kind != once.Run {
			return p.handleDecision(ctx, c, i, d), false
		}
	}
	p.recordEvent(EventIntent, c, target.host.Name, "")
	return p.sendOnceOnly(ctx, c, i, target)
}

// refuseUnrecorded refuses a call whose intent could not be recorded for certain. The call
// was not sent and will not be.
func (p *Proxy) refuseUnrecorded(i once.Intent, err error) result {
	p.log.Warn("failed to record intent", "attempt", i.Attempt, "err", err)
	if !isNotRecorded(err) {
		p.concludeInBackground(newConclusion(i, outcome.NotRun, nil))
	}
	return result{refused: refuseNotRun(http.StatusServiceUnavailable, outcome.ReasonNoQuorum, "the intent of the call could not be recorded").withRetryAfter(shortRetryAfter)}
}

// newConclusion returns the conclusion of the attempt of an intent.
func newConclusion(i once.Intent, o outcome.Outcome, a *once.Answer) once.Conclusion {
	return once.Conclusion{
		Organisation: i.Organisation,
		Service:      i.Service,
		Key:          i.Key,
		Attempt:      i.Attempt,
		Outcome:      o,
		Answer:       a,
		Gate:         i.Gate,
	}
}

// handleDecision answers a call that its record does not allow to run.
func (p *Proxy) handleDecision(ctx context.Context, c *call, i once.Intent, d once.Decision) result {
	switch d.Kind {
	case once.Recorded:
		p.metrics.replayed.WithLabelValues(c.service.Name).Inc()
		return replayResult(d.Answer)
	case once.Unknown:
		return p.resolveUnknown(ctx, c, i, d)
	case once.InProgress:
		return p.awaitInProgress(ctx, c, i)
	case once.KeyReused:
		return result{refused: refuseNotRun(http.StatusUnprocessableEntity, outcome.ReasonKeyReused, "the key was already used for a different request")}
	case once.RecordsFull, once.OpaqueKeysFull:
		return result{refused: refuseNotRun(http.StatusServiceUnavailable, outcome.ReasonRecordsFull, recordsFullMessage(d.Kind)).withRetryAfter(d.RetryAfter)}
	case once.Expired:
		return result{refused: refuseWith(http.StatusConflict, outcome.Unknown, outcome.ReasonKeyExpired, "the key is older than the retained records")}
	case once.KeyAhead:
		return result{refused: refuseNotRun(http.StatusBadRequest, outcome.ReasonKeyAhead, "the timestamp of the key is in the future").withRetryAfter(d.RetryAfter)}
	case once.Invalid:
		return result{refused: refuseNotRun(http.StatusBadRequest, outcome.ReasonInvalid, "the call can't be recorded: a field is missing or too long")}
	}
	return result{refused: refuseNotRun(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, "the service does not accept the call: "+string(d.Kind)).withRetryAfter(shortRetryAfter)}
}

func recordsFullMessage(k once.DecisionKind) string {
	if k == once.OpaqueKeysFull {
		return "the limit on records of keys without a timestamp is reached; use a UUID version 7 as key"
	}
	return "the limit on records of once-only calls is reached"
}

// replayResult returns the recorded answer.
func replayResult(a *once.Answer) result {
	if a.Omitted {
		return result{replayed: true, refused: refuseWith(http.StatusConflict, outcome.Ran, outcome.ReasonAnswerNotKept,
			fmt.Sprintf("the call ran with status %d; its answer of %d bytes was too large to record", a.Status, a.Size))}
	}
	h := make(http.Header)
	for _, f := range a.Header {
		h.Add(f.Name, f.Value)
	}
	return result{replayed: true, outcome: outcome.Ran, status: a.Status, header: h, body: a.Body}
}

// newRecordAnswer returns an answer in the form in which it is recorded. The body is omitted
// if it is incomplete.
func newRecordAnswer(status int, h http.Header, body []byte, size int64) *once.Answer {
	a := &once.Answer{Status: status, Size: size}
	if size != int64(len(body)) {
		a.Omitted = true
		return a
	}
	for _, name := range sortedNames(h) {
		for _, value := range h[name] {
			a.Header = append(a.Header, once.HeaderField{Name: name, Value: value})
		}
	}
	a.Body = body
	return a
}
