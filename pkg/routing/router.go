package routing

// Filter decides which candidates may take a request.
type Filter interface {
	Name() string
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates a candidate in [0,1]; higher is better.
type Scorer interface {
	Name() string
	Score(r *Request, c *Candidate) float64
}

// WeightedScorer is a scorer with its weight.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// ScoredCandidate is the index of a candidate with its score.
type ScoredCandidate struct {
	Index int
	Score float64
}

// Picker selects one of the scored candidates. The list is never empty.
type Picker interface {
	Pick(list []ScoredCandidate, random uint64) int
}

// Router chooses a target.
type Router struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// Choice is the result of Choose.
type Choice struct {
	Index  int    // index of the candidate, or -1
	Reason string // if Index is -1, the filter that dropped the last candidate
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

// Choose selects a candidate for a request.
func (router *Router) Choose(r *Request, candidates []Candidate, random uint64) Choice {
	list := make([]ScoredCandidate, 0, len(candidates))
	reason := "no-candidate"
	for i := range candidates {
		if f := router.rejectedBy(r, &candidates[i]); f != nil {
			reason = f.Name()
			continue
		}
		list = append(list, ScoredCandidate{Index: i, Score: router.score(r, &candidates[i])})
	}
	if len(list) == 0 {
		return Choice{Index: -1, Reason: reason}
	}
	return Choice{Index: list[router.Picker.Pick(list, random)].Index}
}

// rejectedBy returns the first filter that drops a candidate, or nil.
func (router *Router) rejectedBy(r *Request, c *Candidate) Filter {
	for _, f := range router.Filters {
		if !f.Keep(r, c) {
			return f
		}
	}
	return nil
}

func (router *Router) score(r *Request, c *Candidate) float64 {
	sum := 0.0
	for _, w := range router.Scorers {
		sum += w.Weight * w.Scorer.Score(r, c)
	}
	return sum
}
