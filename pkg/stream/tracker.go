package stream

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
)

// Tracker tracks the answer to one request over all its attempts.
type Tracker struct {
	request  string
	attempt  int
	offset   int // tokens forwarded so far
	finished bool
	complete bool
}

// NewTracker returns a tracker that starts at an offset, 0 for a new answer.
func NewTracker(request string, offset int) *Tracker {
	return &Tracker{request: request, offset: offset}
}

// BeginAttempt starts an attempt. From then on, events of other attempts are dropped.
func (t *Tracker) BeginAttempt(attempt int) { t.attempt = attempt }

// Offset returns the number of tokens forwarded so far.
func (t *Tracker) Offset() int { return t.offset }

// Complete reports whether the end marker of a complete answer has arrived.
func (t *Tracker) Complete() bool { return t.complete }

// Accept decides what to do with an event. An error means that the stream broke at Offset.
func (t *Tracker) Accept(ev Event) (Verdict, error) {
	if t.complete || t.fromOtherAttempt(ev) {
		return Drop, nil
	}
	if string(ev.Data) == infer.DoneMarker {
		return t.acceptDone(ev)
	}
	kind, err := classify(ev.Data)
	if err != nil {
		return Drop, err
	}
	if ev.HasID && ev.ID.Offset < t.offset {
		return Drop, nil
	}
	if ev.HasID && ev.ID.Offset > t.offset {
		return Drop, eris.Wrapf(ErrGap, "event at offset %d, answer at offset %d", ev.ID.Offset, t.offset)
	}
	if t.finished {
		return Drop, nil
	}
	if kind.token {
		t.offset++
	}
	t.finished = kind.finish
	return Forward, nil
}

func (t *Tracker) fromOtherAttempt(ev Event) bool {
	return ev.HasID && (ev.ID.Request != t.request || ev.ID.Attempt != t.attempt)
}

// acceptDone handles the end marker. An answer without a finish reason or with missing
// tokens is truncated.
func (t *Tracker) acceptDone(ev Event) (Verdict, error) {
	if !t.finished || (ev.HasID && ev.ID.Offset != t.offset) {
		return Drop, ErrTruncated
	}
	t.complete = true
	return Complete, nil
}

// eventContent describes what an event adds to the answer.
type eventContent struct {
	token  bool
	finish bool
}

var (
	nullFinishReason = []byte(`"finish_reason":null`)
	backslash        = []byte(`\`)
)

// classify returns what an event adds. The usual event, a token in the middle of an
// answer, is recognised without parsing its JSON.
func classify(data []byte) (eventContent, error) {
	if bytes.Contains(data, nullFinishReason) && !bytes.Contains(data, backslash) {
		return eventContent{token: true}, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return eventContent{}, eris.Wrap(ErrMalformed, err.Error())
	}
	if c.Error != nil {
		return eventContent{}, ErrUpstream
	}
	var k eventContent
	for _, choice := range c.Choices {
		k.token = k.token || choice.Delta.Content != ""
		k.finish = k.finish || choice.FinishReason != nil
	}
	if !k.finish && len(c.Choices) > 0 {
		k.token = true
	}
	return k, nil
}

// chunk holds the fields of an event that classify needs.
type chunk struct {
	Choices []infer.ChunkChoice `json:"choices"`
	Error   *json.RawMessage    `json:"error"`
}
