package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/ask"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// OutcomePath is where the stand-in tells the outcome of a key.
const OutcomePath = "/outcome"

// freeCarts is what the stand-in always has.
const freeCarts = 7

// availability is the answer of GET /availability.
type availability struct {
	Free int `json:"free"`
}

// maxBody bounds the body of a call, in bytes.
const maxBody = 16 << 20

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, action := range []string{"/stamp", "/bill", "/book"} {
		mux.HandleFunc("POST "+action, s.act)
	}
	mux.HandleFunc("GET /availability", s.availability)
	mux.HandleFunc("GET "+OutcomePath+"/{key...}", s.outcome)
	mux.HandleFunc("GET /executions", s.executions)
	mux.HandleFunc("GET "+report.Path, s.report)
	mux.HandleFunc("PUT /admin/fault", s.orderFault)
	return mux
}

// act runs an action and fails as ordered.
func (s *Service) act(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	fault, lifted := s.faults.next()
	switch fault.Kind {
	case FaultCutBefore:
		panic(http.ErrAbortHandler)
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultPause:
		<-lifted
	}
	e, ok := s.record.execute(Execution{
		Organisation: r.Header.Get(ask.HeaderOrganisation),
		Key:          r.Header.Get(KeyHeader),
		Action:       r.URL.Path,
		Body:         string(body),
		Request:      r.Header.Get(RequestHeader),
		Host:         string(s.config.Host.Name),
	}, r.Header.Get(ask.HeaderAttempt))
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.done.Add(1)
	s.answer(w, r, e, fault, lifted)
}

// answer tells of an execution and fails as ordered.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, e Execution, fault Fault, lifted <-chan struct{}) {
	text := []byte(e.Answer())
	switch fault.Kind {
	case FaultCutAfter:
		panic(http.ErrAbortHandler)
	case FaultLoseReply:
		select {
		case <-lifted:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case FaultSlow:
		select {
		case <-time.After(fault.delay()):
		case <-r.Context().Done():
		}
	case FaultUnavailableAfter:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultRedirect:
		w.Header().Set("Location", r.URL.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
		return
	case FaultCutAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = w.Write(text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (s *Service) availability(w http.ResponseWriter, _ *http.Request) {
	fault, lifted := s.faults.next()
	switch fault.Kind {
	case FaultCutBefore, FaultCutAfter, FaultLoseReply, FaultCutAnswer:
		panic(http.ErrAbortHandler)
	case FaultUnavailable, FaultUnavailableAfter:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultPause:
		<-lifted
	}
	writeJSON(w, availability{Free: freeCarts})
}

func (s *Service) outcome(w http.ResponseWriter, r *http.Request) {
	e, o, final := s.record.ask(r.Header.Get(ask.HeaderOrganisation), r.PathValue("key"), r.Header.Get(ask.HeaderAttempt))
	reply := ask.Reply{Outcome: o, Final: final}
	if o == outcome.Ran {
		reply.Status = http.StatusOK
		reply.ContentType = "application/json"
		reply.Body = []byte(e.Answer())
	}
	writeJSON(w, reply)
}

func (s *Service) executions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.record.Executions())
}

func (s *Service) report(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, report.Report{
		Host:   s.config.Host.Name,
		Status: s.status(),
		Load:   report.Load{Running: int(s.running.Load()), FinishedTotal: s.done.Load()},
	})
}

func (s *Service) orderFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
