package entry

import (
	"bufio"
	"context"
	"io"
	"net"
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
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	return ask(ctx, g.cfg.DialBackend, u.Address, question, func(conn net.Conn) bool {
		answer, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxQuestionAnswer)), question)
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		return answer.StatusCode != http.StatusMisdirectedRequest
	})
}

// maxQuestionAnswer bounds what is read of the answer to a question, in bytes.
const maxQuestionAnswer = 16 << 10
