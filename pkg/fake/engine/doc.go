// Package engine simulates a member of a model engine for tests, the demo and
// benchmarks. Model is a timing model without a clock of its own: continuous
// batching, a prefix cache of limited size, and a cold start during which overload
// makes throughput collapse. Engine serves the model over HTTP: it announces
// itself, carries out orders, answers model requests on rank 0 and injects faults
// on request.
package engine
