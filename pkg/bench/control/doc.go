// Package control measures the control plane in one process: three keepers that write to a real disk
// and communicate over loopback, and any number of gates that send real sync messages. The cost of one
// gate is a slope: the difference between the figures of two sizes divided by the difference in gates.
package control
