// Package quarantine keeps requests that end the upstreams that run them from reaching more of
// them. It is for deployments in which upstreams end often for other reasons: a request that was
// running at such an end continues elsewhere at once, and only its second end without a completed
// run in between makes it a suspect. Where an upstream only broke off or fell silent, the fourth
// does.
//
// Not only a request may be the cause, also a part of prompts that many requests hold. A crash
// accuses the request and each of these parts; a part is a suspect once upstreams ended under two
// different requests with it.
//
// Suspects run in trials only. A trial is granted by the leading coordinator through the replicated
// log, for all suspects of a request together and one at a time for each of them. A completed run,
// in a trial or not, shows that the request and all parts of its prompt did not end the upstreams of
// runs that began before it, and clears them of these. It proves nothing about later runs. Something
// that completed shortly before its first crash is probably popular; it becomes a suspect only if
// later runs neither complete nor make progress.
//
// A request under suspicion gets at most MaxTrials once it has ended three upstreams. The end of the
// upstream in a trial convicts it; an end that is assumed only, the second time. A part is convicted
// by two trials, of different requests, that ended their upstreams and in which every other part has
// turned out harmless since. Trials on one upstream share its end. A verdict on a request that a
// convicted part explains is taken back.
//
// List is the replicated state, Tracker the leader's memory of upstreams that ended, and Guard the
// part of an entry host. All are free of I/O; times come in as arguments.
package quarantine
