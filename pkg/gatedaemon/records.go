package gatedaemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/once"
)

// recordTimeout limits one call to the keepers. Both calls may be repeated.
const recordTimeout = 2 * time.Second

// records implements serviceproxy.Records by calls to the keepers.
type records struct {
	caller *leader.Caller
}

// Intend implements serviceproxy.Records.
func (r *records) Intend(ctx context.Context, i once.Intent) (once.Decision, error) {
	var d once.Decision
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := r.caller.Call(ctx, control.MethodOnceIntent, i, &d)
	return d, recordError(err)
}

// Conclude implements serviceproxy.Records.
func (r *records) Conclude(ctx context.Context, c once.Conclusion) error {
	var out once.Result
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return recordError(r.caller.Call(ctx, control.MethodOnceOutcome, c, &out))
}

// recordError maps the error of a call to once.ErrNotRecorded if the call did not reach the
// replicated log, and to once.ErrRecordUnknown otherwise.
func recordError(err error) error {
	if err == nil {
		return nil
	}
	if eris.Is(err, leader.ErrNoLeader) {
		return eris.Wrap(once.ErrNotRecorded, err.Error())
	}
	var coded *jsonrpc2.Error
	if eris.As(err, &coded) && (coded.Code == control.CodeNotLeader || coded.Code == control.CodeDenied) {
		return eris.Wrap(once.ErrNotRecorded, err.Error())
	}
	return eris.Wrap(once.ErrRecordUnknown, err.Error())
}
