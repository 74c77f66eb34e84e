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

// serveOnce runs a once-only call to its end, also when its caller is gone:
// the record then holds the answer for the caller's resend.
func (p *Proxy) serveOnce(w http.ResponseWriter, r *http.Request, c *call) {
	key, refused := c.key()
	if refused != nil {
		p.refuse(w, c, refused)
		return
	}
	if !p.begin() {
		p.refuse(w, c, notRun(http.StatusServiceUnavailable, outcome.ReasonShuttingDown, "this gate is about to stop").after(retrySoon))
		return
	}
	defer p.work.Done()
	ctx := context.WithoutCancel(r.Context())
	p.reply(w, c, p.runOnce(ctx, c, key))
}

// key returns the caller's key.
func (c *call) key() (string, *refusal) {
	values := c.header.Values(c.service.KeyHeader)
	switch {
	case len(values) == 0 || values[0] == "":
		return "", notRun(http.StatusBadRequest, outcome.ReasonKeyMissing, "a call that must not be repeated needs the header "+c.service.KeyHeader)
	case len(values) > 1:
		return "", notRun(http.StatusBadRequest, outcome.ReasonInvalid, "there is more than one "+c.service.KeyHeader)
	case len(values[0]) > once.MaxKeyBytes:
		return "", notRun(http.StatusBadRequest, outcome.ReasonInvalid, fmt.Sprintf("the key is over %d bytes", once.MaxKeyBytes))
	}
	return values[0], nil
}

// digest identifies what is asked for: the same key with another digest is
// another request.
func (c *call) digest() string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s?%s\n", c.method, c.path, c.rawQuery)
	h.Write(c.body)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// runOnce tries hosts until one may have run the call.
func (p *Proxy) runOnce(ctx context.Context, c *call, key string) result {
	var tried []view.HostName
	for attempt := 1; ; attempt++ {
		i := p.intent(c, key, attempt)
		at, ok, any := p.choose(c.name, tried)
		if !ok {
			return p.look(ctx, c, i, noPlace(any || len(tried) > 0, outcome.NotRun))
		}
		tried = append(tried, at.host.Name)
		i.Host = at.host.Name
		res, again := p.attempt(ctx, c, i, at)
		at.release(permit.EndInconclusive)
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

// look answers from the record when there is no host for the call, and
// refuses it if there is no record.
func (p *Proxy) look(ctx context.Context, c *call, i once.Intent, refused *refusal) result {
	i.LookupOnly = true
	d, err := p.intend(ctx, i)
	if err != nil || d.Kind == once.Absent {
		return result{refused: refused}
	}
	return p.decided(ctx, c, i, d)
}

// attempt records the intent and sends the call to one host. It returns again
// if the call did not run there and another host may be tried.
func (p *Proxy) attempt(ctx context.Context, c *call, i once.Intent, at place) (result, bool) {
	if !p.config.Unsafe.NoIntent {
		d, err := p.intend(ctx, i)
		if err != nil {
			return p.notIntended(i, err), false
		}
		if d.Kind != once.Run {
			return p.decided(ctx, c, i, d), false
		}
	}
	p.event(EventIntent, c, at.host.Name, "")
	return p.send(ctx, c, i, at)
}

// notIntended refuses a call whose intent is not known to be recorded.
// Nothing was sent, and nothing will be.
func (p *Proxy) notIntended(i once.Intent, err error) result {
	p.log.Warn("intent not recorded", "attempt", i.Attempt, "err", err)
	if !isNotRecorded(err) {
		p.concludeLater(conclusion(i, outcome.NotRun, nil))
	}
	return result{refused: notRun(http.StatusServiceUnavailable, outcome.ReasonNoQuorum, "the call could not be recorded").after(retrySoon)}
}

// conclusion returns how the attempt of an intent ended.
func conclusion(i once.Intent, o outcome.Outcome, a *once.Answer) once.Conclusion {
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

// decided answers a call that the record doesn't let run.
func (p *Proxy) decided(ctx context.Context, c *call, i once.Intent, d once.Decision) result {
	switch d.Kind {
	case once.Recorded:
		p.metrics.replayed.WithLabelValues(c.service.Name).Inc()
		return recorded(d.Answer)
	case once.Unknown:
		return p.settle(ctx, c, i, d)
	case once.InProgress:
		return p.await(ctx, c, i)
	case once.KeyReused:
		return result{refused: notRun(http.StatusUnprocessableEntity, outcome.ReasonKeyReused, "the key was used for another request")}
	case once.RecordsFull, once.OpaqueKeysFull:
		return result{refused: notRun(http.StatusServiceUnavailable, outcome.ReasonRecordsFull, fullMessage(d.Kind)).after(d.RetryAfter)}
	case once.Expired:
		return result{refused: refuseWith(http.StatusConflict, outcome.Unknown, outcome.ReasonKeyExpired, "the key is older than the records that are kept")}
	case once.KeyAhead:
		return result{refused: notRun(http.StatusBadRequest, outcome.ReasonKeyAhead, "the key's time lies in the future").after(d.RetryAfter)}
	case once.Invalid:
		return result{refused: notRun(http.StatusBadRequest, outcome.ReasonInvalid, "the key can't be recorded")}
	}
	return result{refused: notRun(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, "the service takes no such call now: "+string(d.Kind)).after(retrySoon)}
}

func fullMessage(k once.DecisionKind) string {
	if k == once.OpaqueKeysFull {
		return "no further key without a time can be recorded; use a UUID of version 7"
	}
	return "no further call can be recorded now"
}

// recorded answers from the record.
func recorded(a *once.Answer) result {
	if a.Omitted {
		return result{replayed: true, refused: refuseWith(http.StatusConflict, outcome.Ran, outcome.ReasonAnswerNotKept,
			fmt.Sprintf("it ran with status %d; its answer of %d bytes was too large to keep", a.Status, a.Size))}
	}
	h := make(http.Header)
	for _, f := range a.Header {
		h.Add(f.Name, f.Value)
	}
	return result{replayed: true, outcome: outcome.Ran, status: a.Status, header: h, body: a.Body}
}

// toRecord returns an answer in the form of the record.
func toRecord(status int, h http.Header, body []byte, size int64) *once.Answer {
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
