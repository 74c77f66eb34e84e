package engine

import "time"

// ModelOptions sets the timing of a Model.
type ModelOptions struct {
	MaxBatch        int           // sequences in the batch
	StepBase        time.Duration // one step of the batch
	StepPerSequence time.Duration // added for each sequence in the batch
	PrefillPerToken time.Duration // added for each prompt token that is not cached
	CacheBlocks     int           // prefix blocks that the cache holds
	ColdTime        time.Duration // from the start until warm
	ColdBatch       int           // sequences that an engine bears at its start
	ColdFactor      float64       // step time of a cold engine, 1 or more
	CollapseFactor  float64       // step time of a collapsed engine, 1 or more
}

// DefaultModelOptions returns the timing of the demo.
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
