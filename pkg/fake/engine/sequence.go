package engine

// Sequence is one request in a Model.
type Sequence struct {
	Priority int      // higher first
	Blocks   []uint64 // prefix blocks of its prompt
	Prompt   int      // prompt tokens
	Next     int      // offset of the next token
	Total    int      // offset at which it ends
	Cached   int      // prompt tokens found in the cache; set when it enters the batch
}

// Done tells whether all tokens were generated.
func (s *Sequence) Done() bool { return s.Next >= s.Total }
