// Package rendezvous spreads names over candidates so that all processes choose alike, evenly, and few
// names move when a candidate comes or goes.
package rendezvous
