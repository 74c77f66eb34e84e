package service

import "github.com/rotisserie/eris"

// ErrServe means that the HTTP server failed.
var ErrServe = eris.New("stand-in service: HTTP server failed")
