package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// heartbeatInterval is heartbeat_ms of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// runner is a stand-in for a runner of a plain service. It answers in two parts, with a pause between them.
type runner struct {
	id, service, zone, address string
	coordinators               []string
	born                       int64
	size                       int
	turned                     string // file that exists once the request of turnedPath ends runners
	pause                      time.Duration
	log                        *os.File
}

// runRunner is the program of a runner.
func runRunner(args []string) error {
	r := &runner{born: time.Now().UnixMilli()}
	f := flag.NewFlagSet("runner", flag.ContinueOnError)
	f.StringVar(&r.id, "id", "", "")
	f.StringVar(&r.service, "service", "", "")
	f.StringVar(&r.zone, "zone", "", "")
	f.StringVar(&r.address, "address", "", "")
	f.IntVar(&r.size, "size", 800, "bytes of an answer")
	f.DurationVar(&r.pause, "pause", 0, "between the halves of an answer")
	f.StringVar(&r.turned, "turned", "", "file that exists once a request ends runners")
	coordinators := f.String("coordinators", "", "")
	events := f.String("events", "", "file for what runs")
	if err := f.Parse(args); err != nil {
		return err
	}
	r.coordinators = strings.Split(*coordinators, ",")
	var err error
	if r.log, err = os.OpenFile(*events, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	go r.announce()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go r.serve(c)
	}
}

func (r *runner) announce() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence, next := 1, 0; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready",
			"warmup_left_ms": 0, "sequence": sequence, "born": r.born,
		})
		wait := heartbeatInterval
		req, _ := http.NewRequest(http.MethodPut, "http://"+r.coordinators[next%len(r.coordinators)]+"/api/instances/"+r.id, bytes.NewReader(body))
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			wait = 100 * time.Millisecond
			next++
		}
		time.Sleep(wait)
	}
}

// serve answers the requests of a connection. An answer has no length, so that the connection ends with it.
func (r *runner) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		attempt := req.Header.Get("X-Attempt-Id")
		if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
			_, err = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
			if err != nil {
				return
			}
			continue
		}
		r.run(c, req.URL.Path, req.Header.Get("Last-Event-Id"), attempt)
		return
	}
}

func (r *runner) run(c net.Conn, path, lastEvent, attempt string) {
	body := answerBody(attempt, r.size)
	_, _ = fmt.Fprintf(r.log, "%s begins %s\n", r.id, attempt)
	if path == turnedPath {
		r.stream(c, lastEvent, attempt)
		return
	}
	if path == poisonPath {
		time.Sleep(poisonLife) // it runs on after its connection is closed
		os.Exit(1)
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s",
		attempt, signatureOf(r.id), body[:r.size/2])
	_, _ = fmt.Fprintf(r.log, "%s half %s\n", r.id, attempt)
	time.Sleep(r.pause)
	if _, err := fmt.Fprint(c, body[r.size/2:]); err == nil {
		_, _ = fmt.Fprintf(r.log, "%s ends %s\n", r.id, attempt)
	}
}

// stream answers with events, in chunks. Once the request has turned bad, the runner ends after some of them.
func (r *runner) stream(c net.Conn, lastEvent, attempt string) {
	from, _ := strconv.Atoi(lastEvent)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
		attempt, signatureOf(r.id))
	began := time.Now()
	for i := from + 1; i <= turnedEvents; i++ {
		if _, err := os.Stat(r.turned); err == nil && time.Since(began) > turnedLife {
			os.Exit(1)
		}
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, attempt, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		time.Sleep(turnedPause)
	}
	_, _ = fmt.Fprint(c, "0\r\n\r\n")
	_, _ = fmt.Fprintf(r.log, "%s ends %s\n", r.id, attempt)
}

func signatureOf(id string) string { return "sig." + id }

// answerBody returns the whole answer to an attempt.
func answerBody(attempt string, size int) string {
	return strings.Repeat(attempt+"/", size/(len(attempt)+1)+1)[:size]
}
