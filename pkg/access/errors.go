package access

import "github.com/rotisserie/eris"

var (
	// ErrIdentity says that a certificate names no holder of this deployment.
	ErrIdentity = eris.New("certificate names no holder")
	// ErrCluster says that the other side is of another deployment.
	ErrCluster = eris.New("certificate is of another deployment")
	// ErrOwn says that a process was given the certificate of another one.
	ErrOwn = eris.New("certificate is not this process's")
	// ErrNoPeer says that the other side showed no certificate.
	ErrNoPeer = eris.New("no certificate was shown")
	// ErrExists says that a file would be overwritten.
	ErrExists = eris.New("file exists; keys are never overwritten")
	// ErrPEM says that a file holds no certificate.
	ErrPEM = eris.New("no certificate in PEM form")
)
