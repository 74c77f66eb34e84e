// Package quarantine keeps requests that end the upstreams that run them from reaching more of
// them. It is for deployments in which upstreams end often for other reasons: a request that was
// running at such an end continues elsewhere at once, and only its second end without a completed
// run in between makes it a suspect. Where an upstream only broke off or fell silent, the fourth
// does.
//
// A suspect runs in trials only. A trial is granted by the leading coordinator through the
// replicated log, one at a time for each suspect, and at most MaxTrials once the suspect has ended
// three upstreams. The end of the upstream in a trial convicts the request; an end that is assumed
// only, the second time. A completed run, in a trial or not, shows that the request is harmless and
// clears it.
//
// List is the replicated state, Tracker the leader's memory of upstreams that ended, and Guard the
// part of an entry host. All are free of I/O; times come in as arguments.
package quarantine
