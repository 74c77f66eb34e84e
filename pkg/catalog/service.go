package catalog

import "time"

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name            string
	HealthPath      string
	MaxConns        int           // connections one upstream accepts from all callers
	WarmupTime      time.Duration // after a start or a cold return
	WarmupPerSecond float64       // requests a second that a cold upstream bears; 0: no bound
	Engine          *Engine       // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots              int // requests one group runs at the same time
	KVTokens           int // tokens of context that a group's memory holds
	Models             []Model
	StepTime           time.Duration // one token step
	StepPerRequest     time.Duration // added to a step for each request that writes
	StepPerKContext    time.Duration // added to a step for 1,000 tokens of context of a writing request
	PrefillTokensPerS  float64       // prompt tokens read in a second
	AttentionPerMPairs time.Duration // per million pairs of a token and an earlier one
	PrefillChunk       int           // prompt tokens read in one step at most
	StepsPerPass       int           // token steps of one pass
	LoadsPerS          float64       // loads of weights that may start in a second, over all hosts
	ConcurrentLoads    int           // loads beyond this slow each other down
	FormationTime      time.Duration // from the open order until the head serves
	MeanPromptTokens   int           // mean tokens
	MeanAnswerTokens   int           // mean tokens
}

// Model is one model of an engine service.
type Model struct {
	Name      string
	GroupSize int           // hosts of one replica
	Share     float64       // of the service's work at the start
	Pace      float64       // factor on all times of a group
	LoadTime  time.Duration // from the weight store
	WarmTime  time.Duration // from the host's own copy
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
