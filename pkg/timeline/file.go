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

// previousSuffix is appended to the name of the rotated file.
const previousSuffix = ".old"

// file appends JSON lines and is rotated when it is full. It is not synced, since
// the time line need not survive a crash.
type file struct {
	path  string
	limit int64
	size  int64
	f     *os.File
}

func openFile(path string, limit int64) (*file, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, eris.Wrap(err, "create time line directory")
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

// rotate starts a new file if n more bytes would exceed the limit. If that fails,
// it is retried with the next event.
func (w *file) rotate(n int64) error {
	if w.f != nil && (w.size == 0 || w.size+n <= w.limit) {
		return nil
	}
	w.close()
	if err := os.Rename(w.path, w.path+previousSuffix); err != nil && !os.IsNotExist(err) {
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

// ReadFile returns the events of a recorder's rotated and current files. It skips
// lines that are incomplete.
func ReadFile(path string) ([]Event, error) {
	var events []Event
	for _, p := range []string{path + previousSuffix, path} {
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
