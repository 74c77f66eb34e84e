package entry

import (
	"io"
	"time"
)

// answerMeter measures how the rest of an upstream's answer is read while it is forwarded.
type answerMeter struct {
	body   io.Reader
	now    func() time.Duration
	began  time.Duration
	waited time.Duration // for the upstream
	bytes  int64
}

func newAnswerMeter(body io.Reader, now func() time.Duration) *answerMeter {
	return &answerMeter{body: body, now: now, began: now()}
}

// Read implements io.Reader.
func (m *answerMeter) Read(b []byte) (int, error) {
	began := m.now()
	n, err := m.body.Read(b)
	m.waited += m.now() - began
	m.bytes += int64(n)
	return n, err
}

// maxPlausibleAnswer is the size of an answer beyond which a slow client is no excuse for one that does
// not end.
const maxPlausibleAnswer = 16 << 20

// delayedByClient reports whether the answer lasted because of its client more than because of its
// upstream.
func (m *answerMeter) delayedByClient() bool {
	return m.bytes <= maxPlausibleAnswer && m.waited < (m.now()-m.began)/2
}
