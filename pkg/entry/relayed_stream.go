package entry

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// serveByPeer lets other entry hosts serve the stream, which continues after the last whole event that
// the client received. It returns false if none takes it.
func (s *streamRelay) serveByPeer() bool {
	c := s.call
	p := &peerRelay{
		call: c, forward: s.forwardFromPeer, end: c.endStream,
		lastEventID: func() string { return s.splitter.lastID },
	}
	return p.serve()
}

// forwardFromPeer forwards the answer of another entry host.
func (s *streamRelay) forwardFromPeer(resp *upstream.Response, w *silenceWatch) error {
	if resp.Status == http.StatusOK {
		return s.forwardEvents(resp, w)
	}
	if s.call.headerSent {
		return peerFailure(resp.Status)
	}
	return s.call.forwardWhole(resp, w)
}

// peerFailure returns the error of an entry host's answer that can't be forwarded.
func peerFailure(status int) error {
	if notRunStatuses[status] {
		return eris.Wrapf(errNotRun, "entry host answered %d", status)
	}
	return eris.Errorf("entry host answered %d", status)
}

// forwardEvents forwards the events of another entry host's answer.
func (s *streamRelay) forwardEvents(resp *upstream.Response, w *silenceWatch) error {
	c := s.call
	s.splitter.begin()
	buf := make([]byte, relayBuffer)
	for {
		w.begin()
		n, err := resp.Body.Read(buf)
		w.end()
		if whole, count := s.splitter.add(buf[:n]); count > 0 {
			if err := s.writeEvents(c.gateway.now(), resp.Header, whole); err != nil {
				return err
			}
		}
		if err := s.splitter.check(err); err != nil {
			return err
		}
		switch {
		case err == io.EOF:
			if !c.headerSent {
				s.writeHeader(resp.Header)
			}
			c.outcome = served
			return nil
		case err != nil:
			return err
		}
	}
}
