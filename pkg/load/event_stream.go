package load

import (
	"bufio"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// eventStream reads server-sent events.
type eventStream struct {
	in *bufio.Reader
}

func newEventStream(r io.Reader) *eventStream { return &eventStream{in: bufio.NewReader(r)} }

// next returns the data of the next event, or io.EOF at the end of the stream.
func (s *eventStream) next() (string, error) {
	var data []string
	for {
		line, err := s.in.ReadString('\n')
		if err == io.EOF {
			return "", io.EOF
		}
		if err != nil {
			return "", eris.Wrap(errTruncated, err.Error())
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" && len(data) > 0 {
			return strings.Join(data, "\n"), nil
		}
		if rest, ok := strings.CutPrefix(line, "data:"); ok {
			data = append(data, strings.TrimPrefix(rest, " "))
		}
	}
}
