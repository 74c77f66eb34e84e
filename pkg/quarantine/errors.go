package quarantine

import "github.com/rotisserie/eris"

var (
	// ErrNotSuspect is returned for a trial of a request that may run without one.
	ErrNotSuspect = eris.New("request is not a suspect")
	// ErrTrialRunning is returned for a trial while another one of the same request or part runs, or
	// while a part of the request waits for its next trial.
	ErrTrialRunning = eris.New("another trial of the request or of a part is running or due first")
	// ErrRefused is returned for a trial of a request that must not run any more.
	ErrRefused = eris.New("request must not run any more")
)
