package service

import "github.com/rotisserie/eris"

// ErrServe says that the HTTP server failed.
var ErrServe = eris.New("stand-in service stopped serving")
