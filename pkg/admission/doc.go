// Package admission decides which waiting request starts next and which request can't be served in
// time. A Scheduler has one bounded queue for each organisation and serves the queues by
// start-time fair queueing: under contention each organisation with waiting requests gets service
// in proportion to its weight, however many requests it sends. Within an organisation, requests of
// higher priority go first, then in order of arrival. A request that can't end before its deadline
// is refused at once with the time after which to retry; this also applies while it waits. A
// Scheduler has no clock and is not safe for concurrent use.
package admission
