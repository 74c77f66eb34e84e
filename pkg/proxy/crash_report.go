package proxy

import "github.com/sesamemux/sesamemux/pkg/view"

// CrashReport tells that the head of a group broke off requests and is gone
// or another incarnation. Suspects.Crashed knows what ran there.
type CrashReport struct {
	Host        view.HostName
	Incarnation view.Incarnation
	Group       view.GroupID
}
