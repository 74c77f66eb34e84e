package stream

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
)

// Tracker follows one request's answer over its attempts.
type Tracker struct {
	request  string
	attempt  int
	offset   int // tokens that were forwarded
	finished bool
	whole    bool
}

// NewTracker starts at an offset, 0 for a new answer.
func NewTracker(request string, offset int) *Tracker {
	return &Tracker{request: request, offset: offset}
}

// BeginAttempt starts the next attempt: events of others are dropped from now on.
func (t *Tracker) BeginAttempt(attempt int) { t.attempt = attempt }

// Offset returns how many tokens were forwarded.
func (t *Tracker) Offset() int { return t.offset }

// Complete tells whether the end marker of a whole answer has come.
func (t *Tracker) Complete() bool { return t.whole }

// Accept judges an event. An error means that the stream is broken at Offset.
func (t *Tracker) Accept(ev Event) (Verdict, error) {
	if t.whole || t.foreign(ev) {
		return Drop, nil
	}
	if string(ev.Data) == infer.DoneMarker {
		return t.end(ev)
	}
	kind, err := classify(ev.Data)
	if err != nil {
		return Drop, err
	}
	if ev.HasID && ev.ID.Offset < t.offset {
		return Drop, nil
	}
	if ev.HasID && ev.ID.Offset > t.offset {
		return Drop, eris.Wrapf(ErrGap, "event at %d, answer at %d", ev.ID.Offset, t.offset)
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

func (t *Tracker) foreign(ev Event) bool {
	return ev.HasID && (ev.ID.Request != t.request || ev.ID.Attempt != t.attempt)
}

// end judges the end marker: an answer without its finish reason or with
// tokens missing is not whole.
func (t *Tracker) end(ev Event) (Verdict, error) {
	if !t.finished || (ev.HasID && ev.ID.Offset != t.offset) {
		return Drop, ErrTruncated
	}
	t.whole = true
	return Complete, nil
}

// content is what an event adds.
type content struct {
	token  bool
	finish bool
}

var (
	unfinished = []byte(`"finish_reason":null`)
	escape     = []byte(`\`)
)

// classify reads what an event adds. The usual event, a token in the middle of
// an answer, is known without reading all of it.
func classify(data []byte) (content, error) {
	if bytes.Contains(data, unfinished) && !bytes.Contains(data, escape) {
		return content{token: true}, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return content{}, eris.Wrap(ErrMalformed, err.Error())
	}
	if c.Error != nil {
		return content{}, ErrUpstream
	}
	var k content
	for _, choice := range c.Choices {
		k.token = k.token || choice.Delta.Content != ""
		k.finish = k.finish || choice.FinishReason != nil
	}
	if !k.finish && len(c.Choices) > 0 {
		k.token = true
	}
	return k, nil
}

// chunk is the part of an event that says what it adds.
type chunk struct {
	Choices []infer.ChunkChoice `json:"choices"`
	Error   *json.RawMessage    `json:"error"`
}
