// Package admission decides which waiting request goes next and which has no
// chance. A Flow has one bounded queue for each organisation, served by
// start-time fair queueing: under contention each organisation that has work
// waiting gets service by its weight, however much it sends. Within an
// organisation higher priority goes first, then arrival. A request that can't
// end before its deadline is refused at once with when to come back, also
// while it waits. A Flow has no clock and is not safe for concurrent use.
package admission
