package once

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fake/service"
	"github.com/sesamemux/sesamemux/pkg/ledger"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
)

const (
	maxSends    = 6
	maxPatience = 20 * time.Second // maximum time that a caller waits
	resendPause = time.Second
)

// caller sends a key through random gates until it is answered or maxSends is reached.
func (w *world) caller(key, content string) {
	for range maxSends {
		e := w.send(w.randomGate(), key, content, time.Duration(1+w.randomN(20))*maxPatience/20)
		if e.Done() {
			return
		}
		time.Sleep(resendPause + time.Duration(w.randomN(1000))*time.Millisecond)
	}
}

func (w *world) randomGate() *gate {
	gates := w.current()
	return gates[w.randomN(len(gates))]
}

// send sends a request and adds its result to the ledger.
func (w *world) send(g *gate, key, content string, patience time.Duration) ledger.Entry {
	e := ledger.Entry{
		Request:      w.requestID(),
		Organisation: "boia",
		Service:      serviceName,
		Key:          key,
		Content:      content,
		Gate:         string(g.name),
		Sent:         time.Now(),
	}
	if !g.isDead() {
		w.exchange(g, &e, patience)
	}
	w.ledger.Add(e)
	return e
}

func (w *world) requestID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests++
	return fmt.Sprintf("q%d", w.requests)
}

func (w *world) exchange(g *gate, e *ledger.Entry, patience time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://gate"+serviceproxy.PathPrefix+serviceName+"/stamp", strings.NewReader(e.Content))
	if err != nil {
		panic(err)
	}
	req.Header.Set(service.KeyHeader, e.Key)
	req.Header.Set(service.RequestHeader, e.Request)
	req.Header.Set(serviceproxy.HeaderOrganisation, e.Organisation)
	r := newReply()
	done := make(chan struct{})
	w.spawn(func() {
		defer close(done)
		r.serve(g.callers, req)
	})
	select {
	case <-done:
	case <-time.After(patience):
		return
	}
	if g.isDead() || r.broken {
		return
	}
	fillEntry(e, r)
}

// fillEntry fills a ledger entry from a reply.
func fillEntry(e *ledger.Entry, r *recordedReply) {
	e.Returned = time.Now()
	e.Status = r.status
	e.Outcome = outcome.Outcome(r.header.Get(outcome.Header))
	e.Replayed = r.header.Get(serviceproxy.HeaderReplayed) != ""
	e.Body = r.body.String()
	var refused outcome.Refusal
	if json.Unmarshal(r.body.Bytes(), &refused) == nil && refused.Reason != "" {
		e.Reason = refused.Reason
		e.Body = ""
	}
}
