package timeline

import (
	"bufio"
	"io"

	"github.com/rotisserie/eris"
)

// WriteText writes events as text, one line each.
func WriteText(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	for _, e := range events {
		_, _ = b.WriteString(e.String() + "\n")
	}
	return eris.Wrap(b.Flush(), "write time line")
}
