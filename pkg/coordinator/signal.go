package coordinator

// signal wakes all that wait for it. The owner of the coordinator's lock uses it.
type signal struct{ ch chan struct{} }

// wait returns a channel that is closed at the next broadcast.
func (s *signal) wait() <-chan struct{} {
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *signal) broadcast() {
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
