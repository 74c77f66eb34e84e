package access

import "github.com/rotisserie/eris"

var (
	// ErrInvalidIdentity says that a certificate names no holder of this deployment.
	ErrInvalidIdentity = eris.New("certificate names no holder")
	// ErrWrongCluster says that the other side is of another deployment.
	ErrWrongCluster = eris.New("certificate is of another deployment")
	// ErrWrongOwnCertificate says that a process was given the certificate of another one.
	ErrWrongOwnCertificate = eris.New("certificate is not this process's")
	// ErrNoPeerCertificate says that the other side showed no certificate.
	ErrNoPeerCertificate = eris.New("no certificate was shown")
	// ErrFileExists says that a file would be overwritten.
	ErrFileExists = eris.New("file exists; keys are never overwritten")
	// ErrNoCertificatePEM says that a file holds no certificate.
	ErrNoCertificatePEM = eris.New("no certificate in PEM form")
)
