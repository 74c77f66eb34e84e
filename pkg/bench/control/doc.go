// Package control measures the control plane in one process: three keepers on
// real disks over loopback, and any number of gates that send the sync messages
// of the product. Figures for one gate are slopes: the difference between two
// sizes divided by the difference in gates.
package control
