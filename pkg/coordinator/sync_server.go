package coordinator

import (
	"encoding/json"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// syncServer answers the sync calls of other processes, at the leader or at a coordinator that
// follows it.
type syncServer struct {
	session       string
	processes     map[string]*processSync
	changed       chan struct{} // closed when there is news for other processes
	cachedResults map[resultKey]cachedResult
}

func newSyncServer(session string) syncServer {
	return syncServer{session: session, processes: map[string]*processSync{}, changed: make(chan struct{}), cachedResults: map[resultKey]cachedResult{}}
}

// notifyChange wakes sync calls that wait for changes. The caller holds the coordinator's lock.
func (s *syncServer) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// process returns the record of a process, a new one if there is none. The caller holds the
// coordinator's lock.
func (s *syncServer) process(name string) (p *processSync, isNew bool) {
	p = s.processes[name]
	if p == nil {
		p = &processSync{}
		s.processes[name] = p
		isNew = true
	}
	return p, isNew
}

// resultKey identifies processes that get the same result at the same time.
type resultKey struct {
	session  string
	revision uint64
	index    uint64
	entry    bool
	serves   bool
	relays   uint64
	inForce  int64
}

// cachedResult is an encoded result that is reused for other processes.
type cachedResult struct {
	encodedAt time.Duration
	raw       json.RawMessage
}

// encoded returns the result for a request, encoded anew unless one for processes in the same state
// is recent. The caller holds the coordinator's lock.
func (s *syncServer) encoded(now time.Duration, req control.FleetSyncRequest, build func() control.FleetSyncResult) (json.RawMessage, error) {
	key := resultKey{req.Session, req.Revision, req.Index, req.EntryHost, req.ServesEntryHosts, req.RelayRevision, req.InForceVersion()}
	cacheTime := time.Duration(len(s.processes)) * resultCacheTimePerProcess
	if e, ok := s.cachedResults[key]; ok && now-e.encodedAt < cacheTime {
		return e.raw, nil
	}
	for k, e := range s.cachedResults {
		if now-e.encodedAt >= cacheTime {
			delete(s.cachedResults, k)
		}
	}
	raw, err := json.Marshal(build())
	if err != nil {
		return nil, err
	}
	s.cachedResults[key] = cachedResult{now, raw}
	return raw, nil
}
