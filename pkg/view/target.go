package view

import "strings"

// Prefixes of the two kinds of targets.
const (
	groupPrefix = "group/"
	hostPrefix  = "host/"
)

// TargetID names a unit that receives requests under one permit bound: a group, as
// "group/<id>", or a service host, as "host/<name>".
type TargetID string

// GroupTarget returns the target ID of a group.
func GroupTarget(id GroupID) TargetID { return TargetID(groupPrefix + id) }

// HostTarget returns the target ID of a service host.
func HostTarget(name HostName) TargetID { return TargetID(hostPrefix + name) }

// Group returns the group of the target, or false if it is a service host.
func (t TargetID) Group() (GroupID, bool) {
	id, ok := strings.CutPrefix(string(t), groupPrefix)
	return GroupID(id), ok
}

// Host returns the service host of the target, or false if it is a group.
func (t TargetID) Host() (HostName, bool) {
	name, ok := strings.CutPrefix(string(t), hostPrefix)
	return HostName(name), ok
}
