package access

import (
	"iter"
	"sync/atomic"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// KeysOf returns the API keys of a view's organisations.
func KeysOf(v *view.View) *Keys { return NewKeys(organisations(v)) }

func organisations(v *view.View) iter.Seq[object.Organisation] {
	return func(yield func(object.Organisation) bool) {
		for _, e := range v.Organisations.Entries {
			if !yield(e.Value) {
				return
			}
		}
	}
}

// ViewKeyCache caches the API keys of the view that was requested last. It is safe for
// concurrent use.
type ViewKeyCache struct {
	cached atomic.Pointer[cachedViewKeys]
}

type cachedViewKeys struct {
	view *view.View
	keys *Keys
}

// ForView returns the API keys of a view, which must not be modified afterwards.
func (c *ViewKeyCache) ForView(v *view.View) *Keys {
	if held := c.cached.Load(); held != nil && held.view == v {
		return held.keys
	}
	k := KeysOf(v)
	c.cached.Store(&cachedViewKeys{view: v, keys: k})
	return k
}
