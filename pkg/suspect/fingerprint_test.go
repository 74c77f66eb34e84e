package suspect

import "testing"

func TestFingerprint(t *testing.T) {
	base := Fingerprint("boia", "/v1/chat/completions", []byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":1}`))
	for _, c := range []struct {
		name, org, body string
		same            bool
	}{
		{"spacing and order", "boia", "{ \"temperature\": 1.0,\n \"messages\":[{\"content\":\"hi\",\"role\":\"user\"}], \"model\":\"m\" }", true},
		{"escapes", "boia", `{"model":"\u006d","messages":[{"role":"user","content":"hi"}],"temperature":1e0}`, true},
		{"request ID and streaming", "boia", `{"request_id":"7","stream":true,"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":1}`, true},
		{"other organisation", "nile", `{"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":1}`, false},
		{"other content", "boia", `{"model":"m","messages":[{"role":"user","content":"hi "}],"temperature":1}`, false},
		{"other sampling", "boia", `{"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":2}`, false},
		{"order of a list", "boia", `{"model":"m","messages":[{"role":"user","content":"hi"},1],"temperature":1}`, false},
		{"not JSON", "boia", `{"model":`, false},
	} {
		if got := Fingerprint(c.org, "/v1/chat/completions", []byte(c.body)); (got == base) != c.same {
			t.Errorf("%s: same is %v, want %v", c.name, got == base, c.same)
		}
	}
}
