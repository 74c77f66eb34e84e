package view

import "strings"

// Beginnings of the two kinds of targets.
const (
	groupPrefix = "group/"
	hostPrefix  = "host/"
)

// TargetID names what takes requests under one permit bound: a group, as
// "group/<id>", or one service host, as "host/<name>".
type TargetID string

// GroupTarget returns the target of a group.
func GroupTarget(id GroupID) TargetID { return TargetID(groupPrefix + id) }

// HostTarget returns the target of a service host.
func HostTarget(name HostName) TargetID { return TargetID(hostPrefix + name) }

// Group returns the group that the target is; false if it is a service host.
func (t TargetID) Group() (GroupID, bool) {
	id, ok := strings.CutPrefix(string(t), groupPrefix)
	return GroupID(id), ok
}

// Host returns the service host that the target is; false if it is a group.
func (t TargetID) Host() (HostName, bool) {
	name, ok := strings.CutPrefix(string(t), hostPrefix)
	return HostName(name), ok
}
