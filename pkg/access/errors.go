package access

import "github.com/rotisserie/eris"

var (
	// ErrInvalidIdentity is returned for a certificate that does not identify a valid holder.
	ErrInvalidIdentity = eris.New("certificate does not identify a valid holder")
	// ErrWrongCluster is returned if the peer belongs to another deployment.
	ErrWrongCluster = eris.New("certificate belongs to another deployment")
	// ErrWrongOwnCertificate is returned if a process is configured with the certificate
	// of another holder.
	ErrWrongOwnCertificate = eris.New("certificate was issued for another process")
	// ErrNoPeerCertificate is returned if the peer presented no certificate.
	ErrNoPeerCertificate = eris.New("peer presented no certificate")
	// ErrFileExists is returned instead of overwriting a file.
	ErrFileExists = eris.New("file exists; keys are never overwritten")
	// ErrNoCertificatePEM is returned for a file without a certificate in PEM form.
	ErrNoCertificatePEM = eris.New("file contains no certificate in PEM form")
)
