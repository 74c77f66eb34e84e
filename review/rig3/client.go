package rig3

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Answer is what a caller got.
type Answer struct {
	ID     string
	Status int // 0: none
	Header http.Header
	Body   string
	Err    error // of the connection, also behind a part of the body
}

// NewID returns the ID of a requester attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends one request to an entry host on a new connection.
func (f *Fleet) Send(entry int, method, path, body string, deadline time.Duration) Answer {
	return f.SendWith(entry, method, path, body, deadline, nil)
}

// SendWith is Send with further header fields.
func (f *Fleet) SendWith(entry int, method, path, body string, deadline time.Duration, header map[string]string) Answer {
	a := Answer{ID: NewID()}
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+f.EntryAddress(entry)+path, content)
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = Host
	req.GetBody = nil
	req.Header.Set("X-Attempt-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+Key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status, a.Header = resp.StatusCode, resp.Header
	raw, err := io.ReadAll(resp.Body)
	a.Body, a.Err = string(raw), err
	return a
}
