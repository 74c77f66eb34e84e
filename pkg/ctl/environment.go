package ctl

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"time"

	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// Environment is the environment that a command line runs in.
type Environment struct {
	Stdout  io.Writer
	Stderr  io.Writer
	Environ []string         // in the form of os.Environ
	Dial    rpc.DialFunc     // nil: TCP, with TLS as the settings say
	NewID   func() string    // nil: random change IDs
	Now     func() time.Time // nil: time.Now
}

// changeIDBytes is the number of random bytes in a change ID, enough to avoid collisions
// between operators.
const changeIDBytes = 12

func newChangeID() string {
	var b [changeIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return "c-" + hex.EncodeToString(b[:])
}

func (e Environment) withDefaults() Environment {
	if e.NewID == nil {
		e.NewID = newChangeID
	}
	if e.Now == nil {
		e.Now = time.Now
	}
	return e
}
