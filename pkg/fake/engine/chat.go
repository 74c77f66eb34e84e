package engine

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/prefix"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// attemptsKept bounds the cancelled attempts that are remembered.
const attemptsKept = 4096

// handleChat answers a model request on the head of a ready group.
func (e *Engine) handleChat(c echo.Context) error {
	var req infer.Request
	if err := c.Bind(&req); err != nil {
		return refuse(c, http.StatusBadRequest, outcome.ReasonInvalid, err)
	}
	st, err := e.begin(c.Request().Header, &req)
	if err != nil {
		return refuse(c, http.StatusServiceUnavailable, outcome.ReasonNoUpstream, err)
	}
	defer e.finish(st)
	f := e.faults.forRequest(req.Prompt())
	if f.Kind == FaultCrashOnPrompt {
		e.log.Error("crash", "request", st.key.Request)
		e.options.Crash()
		return resetConn(c)
	}
	w := &eventWriter{context: c, request: &req, stream: st, fault: f, version: e.version(), die: e.options.Crash}
	if req.Stream {
		return w.streamAnswer()
	}
	return w.wholeAnswer()
}

// refuse says that nothing of the request ran.
func refuse(c echo.Context, status int, reason outcome.Reason, err error) error {
	return outcome.Write(c.Response(), status, outcome.Refusal{
		Outcome: outcome.NotRun,
		Reason:  reason,
		Message: err.Error(),
	})
}

func (e *Engine) version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role.version
}

// begin puts a request into the batch.
func (e *Engine) begin(h http.Header, req *infer.Request) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.role
	if r.phase == report.PhaseFailed {
		return nil, errBroken
	}
	if r.phase != report.PhaseReady || r.rank != 0 {
		return nil, errNotHead
	}
	if !meantFor(h, r) {
		return nil, errWrongGroup
	}
	key := attemptKey(h)
	if st, known := e.attempts[key]; known && st == nil && key.Request != "" {
		return nil, errCancelled
	}
	_, adapter := infer.SplitModel(req.Model)
	prompt := req.Prompt()
	a := NewAnswer(r.version, adapter, prompt, req.Seed, req.MaxTokens)
	if req.ResumeOffset < 0 || req.ResumeOffset > a.Len() {
		return nil, eris.Errorf("resume offset %d is outside the answer", req.ResumeOffset)
	}
	priority, _ := strconv.Atoi(h.Get(infer.HeaderPriority))
	seq := &Sequence{
		Priority: priority,
		Blocks:   prefix.Blocks(r.version+":"+adapter, prompt),
		Prompt:   PromptTokens(prompt),
		Next:     req.ResumeOffset,
		Total:    a.Len(),
	}
	st := newStream(key, seq, a)
	e.attempts[key] = st
	if !seq.Done() {
		e.streams[seq] = st
		e.peak = max(e.peak, len(e.streams))
		e.model.Add(seq)
		notify(e.wake)
		e.options.OnPrompt(prompt)
	}
	return st, nil
}

func meantFor(h http.Header, r *role) bool {
	if g := h.Get(infer.HeaderGroup); g != "" && view.GroupID(g) != r.group {
		return false
	}
	epoch := h.Get(infer.HeaderEpoch)
	return epoch == "" || epoch == strconv.FormatUint(uint64(r.epoch), 10)
}

func attemptKey(h http.Header) infer.Cancel {
	attempt, _ := strconv.Atoi(h.Get(infer.HeaderAttempt))
	return infer.Cancel{Request: h.Get(infer.HeaderRequestID), Attempt: attempt}
}

// finish forgets an attempt that was answered, cut off or left by its caller.
func (e *Engine) finish(st *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Remove(st.seq)
	delete(e.streams, st.seq)
	if e.attempts[st.key] == st {
		delete(e.attempts, st.key)
	}
}

// handleCancel ends an attempt, or refuses it in advance.
func (e *Engine) handleCancel(c echo.Context) error {
	var k infer.Cancel
	if err := c.Bind(&k); err != nil {
		return refuse(c, http.StatusBadRequest, outcome.ReasonInvalid, err)
	}
	return c.JSON(http.StatusOK, infer.CancelReply{Known: e.cancel(k)})
}

func (e *Engine) cancel(k infer.Cancel) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.attempts[k]
	if len(e.attempts) > attemptsKept {
		e.forgetCancelled()
	}
	e.attempts[k] = nil
	if st == nil {
		return false
	}
	e.model.Remove(st.seq)
	delete(e.streams, st.seq)
	st.cut(errCancelled)
	return true
}

func (e *Engine) forgetCancelled() {
	for k, st := range e.attempts {
		if st == nil {
			delete(e.attempts, k)
		}
	}
}
