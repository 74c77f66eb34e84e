package engine

import "time"

// ModelOptions configures the timing of a Model.
type ModelOptions struct {
	MaxBatch        int           // maximum number of sequences in the batch
	StepBase        time.Duration // base duration of a step
	StepPerSequence time.Duration // added for each sequence in the batch
	PrefillPerToken time.Duration // added for each prompt token that is not cached
	CacheBlocks     int           // capacity of the prefix cache, in blocks
	ColdTime        time.Duration // from the start until warm
	ColdBatch       int           // sequences that a just started engine can process without a collapse
	ColdFactor      float64       // factor on the step duration of a cold engine, 1 or more
	CollapseFactor  float64       // factor on the step duration of a collapsed engine, 1 or more
}

// DefaultModelOptions returns the timing that the demo uses.
func DefaultModelOptions() ModelOptions {
	return ModelOptions{
		MaxBatch:        32,
		StepBase:        3 * time.Millisecond,
		StepPerSequence: 100 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond,
		CacheBlocks:     4096,
		ColdTime:        5 * time.Second,
		ColdBatch:       4,
		ColdFactor:      1.5,
		CollapseFactor:  20,
	}
}
