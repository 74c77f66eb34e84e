package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// oldSuffix names the file before the present one.
const oldSuffix = ".old"

// file appends JSON lines and starts anew when it is full. It is not synced:
// the time line is no state that must survive.
type file struct {
	path  string
	limit int64
	size  int64
	f     *os.File
}

func openFile(path string, limit int64) (*file, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, eris.Wrap(err, "time line folder")
	}
	w := &file{path: path, limit: limit}
	if err := w.open(); err != nil {
		return nil, err
	}
	return w, nil
}

func (w *file) open() error {
	f, err := os.OpenFile(w.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "open time line")
	}
	info, err := f.Stat()
	if err != nil {
		_ = f.Close()
		return eris.Wrap(err, "open time line")
	}
	w.f = f
	w.size = info.Size()
	return nil
}

func (w *file) append(e Event) error {
	line, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	line = append(line, '\n')
	if err := w.rotate(int64(len(line))); err != nil {
		return err
	}
	n, err := w.f.Write(line)
	w.size += int64(n)
	return eris.Wrap(err, "write time line")
}

// rotate makes room for n bytes. After a failure it is tried again with the
// next event.
func (w *file) rotate(n int64) error {
	if w.f != nil && (w.size == 0 || w.size+n <= w.limit) {
		return nil
	}
	w.close()
	if err := os.Rename(w.path, w.path+oldSuffix); err != nil && !os.IsNotExist(err) {
		return eris.Wrap(err, "rotate time line")
	}
	return w.open()
}

func (w *file) close() {
	if w.f != nil {
		_ = w.f.Close()
	}
	w.f = nil
}

// ReadFile returns the events of a recorder's file and the one before it. A
// line that was cut off is left out.
func ReadFile(path string) ([]Event, error) {
	var events []Event
	for _, p := range []string{path + oldSuffix, path} {
		text, err := os.ReadFile(p)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, eris.Wrap(err, "read time line")
		}
		events = append(events, parseLines(bytes.NewReader(text))...)
	}
	return events, nil
}

func parseLines(r io.Reader) []Event {
	var events []Event
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadBytes('\n')
		var e Event
		if json.Unmarshal(line, &e) == nil {
			events = append(events, e)
		}
		if err != nil {
			return events
		}
	}
}
