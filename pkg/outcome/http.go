package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Header is the HTTP header with the outcome, set on every answer of a gate.
const Header = "Sesame-Outcome"

// Write answers an HTTP request with a refusal: the status, Header, Retry-After in whole seconds
// rounded up, and the refusal as JSON.
func Write(w http.ResponseWriter, status int, r Refusal) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(Header, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(divideRoundingUp(r.RetryAfter, time.Second), 10))
	}
	w.WriteHeader(status)
	_, err = w.Write(body)
	return err
}
