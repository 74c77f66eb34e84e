// Package timeline records what happens in each process and shows the events
// of all processes together in causal order.
//
// Events are stamped by a hybrid logical clock. A process that takes a message
// from another observes the sender's stamp, so that what follows from the
// message is stamped later, whatever the hosts' clocks say. Recording never
// blocks: a bounded ring keeps the newest events, and a bounded queue feeds an
// optional file; what does not fit is dropped and counted.
package timeline
