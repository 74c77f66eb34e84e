// Package engine is a small stand-in of a model engine's member, for tests,
// the demo and measures. Model is its pure timing model: continuous batching,
// a prefix cache with limited memory, a cold start that collapses when it is
// overloaded. Engine serves it over HTTP: it announces itself, takes orders,
// answers model requests on rank 0 and shows ordered faults.
package engine
