package engine

// Sequence is one request in a Model.
type Sequence struct {
	Priority int      // higher first
	Blocks   []uint64 // prefix blocks of its prompt
	Prompt   int      // prompt tokens
	Next     int      // offset of the next token
	Total    int      // number of tokens of the complete answer
	Cached   int      // prompt tokens found in the cache; set when it enters the batch
}

// Done reports whether all tokens were generated.
func (s *Sequence) Done() bool { return s.Next >= s.Total }
