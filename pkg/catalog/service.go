package catalog

import "time"

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name            string
	HealthPath      string
	MaxConns        int           // limit on the connections to one upstream, over all clients
	WarmupTime      time.Duration // duration of the warm-up after a start or a return in the cold state
	WarmupPerSecond float64       // requests per second to an upstream that warms up; 0: no limit
	Engine          *Engine       // nil for a plain service
}

// Engine is the performance model of a service's model engines.
type Engine struct {
	Slots              int // concurrent requests of one group
	KVTokens           int // capacity of a group's KV cache, in tokens
	Models             []Model
	StepTime           time.Duration // base duration of one decoding step
	StepPerRequest     time.Duration // added to a step for each request that is decoding
	StepPerKContext    time.Duration // added to a step for each 1,000 context tokens of a decoding request
	PrefillTokensPerS  float64       // prefill rate in prompt tokens per second
	AttentionPerMPairs time.Duration // attention time for each million pairs of a token and an earlier one
	PrefillChunk       int           // limit on the prompt tokens prefilled in one step
	StepsPerPass       int           // decoding steps in one scheduling pass
	LoadsPerS          float64       // limit on weight loads started per second, over all hosts
	ConcurrentLoads    int           // concurrent weight loads beyond this number slow each other down
	FormationTime      time.Duration // from the order to open until the head takes requests
	MeanPromptTokens   int
	MeanAnswerTokens   int
}

// Model is one model of an engine service.
type Model struct {
	Name      string
	GroupSize int           // hosts of one group
	Share     float64       // expected share of the service's load; prior for the observed load
	Pace      float64       // factor applied to all durations of a group
	LoadTime  time.Duration // time to load the weights from the weight store
	WarmTime  time.Duration // time to load the weights from the host's local copy
}

// Model returns a model by name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}
