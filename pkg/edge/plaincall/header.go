package plaincall

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders lists the headers that apply to one connection only, and those
// with which a caller could make a service see another method than the gate does.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	"X-Http-Method-Override", "X-Http-Method", "X-Method-Override",
}

// EndToEndHeader returns a copy of a header without its hop-by-hop fields, including
// those named by Connection.
func EndToEndHeader(h http.Header) http.Header {
	c := h.Clone()
	if c == nil {
		c = make(http.Header)
	}
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			c.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		c.Del(name)
	}
	return c
}
