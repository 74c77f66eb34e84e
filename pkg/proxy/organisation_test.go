package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

func TestOrganisationOf(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	v := view.New()
	v.Revision = 1
	v.Organisations.Put("open", object.Organisation{Name: "open"}, 1)
	v.Organisations.Put("keyed", object.Organisation{Name: "keyed", KeySHA256: hex.EncodeToString(sum[:])}, 1)
	x := newIndex(v, "g1")
	for _, c := range []struct {
		what, key, name string
		peer            bool
		want            string // "" for refused
	}{
		{what: "its key", key: "secret", want: "keyed"},
		{what: "its key with the name of another organisation", key: "secret", name: "open", want: "keyed"},
		{what: "an unknown key", key: "guess"},
		{what: "an unknown key with an open name", key: "guess", name: "open"},
		{what: "an open name", name: "open", want: "open"},
		{what: "a name that needs a key", name: "keyed"},
		{what: "a name sent by a peer, which has checked the key", name: "keyed", peer: true, want: "keyed"},
		{what: "neither key nor name"},
	} {
		h := http.Header{}
		if c.key != "" {
			h.Set("Authorization", "Bearer "+c.key)
		}
		if c.name != "" {
			h.Set(infer.HeaderOrganisation, c.name)
		}
		got, ok := organisationOf(x, h, c.peer)
		if got.Name != c.want || ok != (c.want != "") {
			t.Errorf("%s: got organisation %q, %v, want %q", c.what, got.Name, ok, c.want)
		}
	}
}
