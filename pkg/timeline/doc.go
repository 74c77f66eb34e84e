// Package timeline records events in each process and merges the events of all
// processes into one causal order.
//
// Events are stamped by a hybrid logical clock. A process that receives a message
// observes the sender's stamp, so that events caused by the message get later
// stamps even if the hosts' clocks disagree. Recording never blocks: a ring buffer
// keeps the newest events, and a bounded queue feeds an optional file. Events that
// don't fit into the queue are dropped from the file and counted.
package timeline
