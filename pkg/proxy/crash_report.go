package proxy

import "github.com/sesamemux/sesamemux/pkg/view"

// CrashReport reports that the process at the head of a group is gone, or was replaced
// by another incarnation. suspect.Guard.Crashed returns the requests that ran there.
type CrashReport struct {
	Host        view.HostName
	Incarnation view.Incarnation
	Group       view.GroupID
}
