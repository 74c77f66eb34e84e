package routing

// Filter keeps the candidates that may take a request.
type Filter interface {
	Name() string
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates a candidate in [0,1], higher is better.
type Scorer interface {
	Name() string
	Score(r *Request, c *Candidate) float64
}

// WeightedScorer is a scorer with its weight.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// ScoredCandidate is a candidate's index with its score.
type ScoredCandidate struct {
	Index int
	Score float64
}

// Picker takes one of the scored candidates, of which there is at least one.
type Picker interface {
	Pick(list []ScoredCandidate, random uint64) int
}

// Router chooses a target.
type Router struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// Choice is the result of a choice.
type Choice struct {
	Index  int    // of the candidate, or -1
	Reason string // with -1: the filter that dropped the last candidate
}

// NewRouter returns the router that gates use.
func NewRouter() *Router {
	return &Router{
		Filters: []Filter{Serving{}, Version{}, Adapter{}, NotDraining{}, Healthy{}, NotExcluded{}, NoTrial{}, PermitFree{}},
		Scorers: []WeightedScorer{
			{Scorer: PrefixHint{}, Weight: 3},
			{Scorer: OwnInFlight{}, Weight: 2},
			{Scorer: ReportedLoad{}, Weight: 2},
			{Scorer: DomainLocality{}, Weight: 0.25},
		},
		Picker: HighestScore{},
	}
}

// Choose returns the candidate for a request.
func (o *Router) Choose(r *Request, candidates []Candidate, random uint64) Choice {
	list := make([]ScoredCandidate, 0, len(candidates))
	reason := "no-candidate"
	for i := range candidates {
		if f := o.dropped(r, &candidates[i]); f != nil {
			reason = f.Name()
			continue
		}
		list = append(list, ScoredCandidate{Index: i, Score: o.score(r, &candidates[i])})
	}
	if len(list) == 0 {
		return Choice{Index: -1, Reason: reason}
	}
	return Choice{Index: list[o.Picker.Pick(list, random)].Index}
}

func (o *Router) dropped(r *Request, c *Candidate) Filter {
	for _, f := range o.Filters {
		if !f.Keep(r, c) {
			return f
		}
	}
	return nil
}

func (o *Router) score(r *Request, c *Candidate) float64 {
	sum := 0.0
	for _, w := range o.Scorers {
		sum += w.Weight * w.Scorer.Score(r, c)
	}
	return sum
}
