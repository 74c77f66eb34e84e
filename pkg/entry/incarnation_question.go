package entry

import (
	"bufio"
	"context"
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// incarnationTimeout bounds a question to an incarnation. Its answer may wait for a slot.
const incarnationTimeout = 400 * time.Millisecond

// answersAs reports whether an upstream's address still belongs to the same incarnation, by an answer to
// a question that any other one refuses.
func (g *Gateway) answersAs(ctx context.Context, u *fleet.Upstream) bool {
	question, err := g.linkQuestion(witness{u.Address, u.Service})
	if err != nil {
		g.cfg.Logger.Warn("can't ask an upstream who it is", "upstream", u.ID, "address", u.Address, "cause", err)
		return false
	}
	question.Header.Set(g.cfg.Headers.Incarnation, u.ID)
	question.Close = true
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	conn, err := g.cfg.DialBackend(ctx, u.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := question.Write(conn); err != nil {
		return false
	}
	answer, err := http.ReadResponse(bufio.NewReaderSize(conn, questionAnswerBytes), question)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode != http.StatusMisdirectedRequest
}

// questionAnswerBytes is the size of the buffer for the answer to a question.
const questionAnswerBytes = 512
