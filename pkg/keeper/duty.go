package keeper

import "context"

// duty is work that goes on in the background until it is ended.
type duty struct {
	stop context.CancelFunc
	done chan struct{}
}

// begin starts the work; an earlier one must have been ended.
func (d *duty) begin(ctx context.Context, work func(context.Context)) {
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	d.stop = stop
	d.done = done
	go func() {
		defer close(done)
		work(ctx)
	}()
}

// end stops the work and waits for it.
func (d *duty) end() {
	if d.stop == nil {
		return
	}
	d.stop()
	<-d.done
	d.stop = nil
}
