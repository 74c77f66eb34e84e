package keeper

import "context"

// task is a background goroutine that runs until it is stopped.
type task struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// start runs work in the background. A task that runs must be stopped before it is started again.
func (d *task) start(ctx context.Context, work func(context.Context)) {
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	d.cancel = stop
	d.done = done
	go func() {
		defer close(done)
		work(ctx)
	}()
}

// stopAndWait cancels the work and waits until it returns.
func (d *task) stopAndWait() {
	if d.cancel == nil {
		return
	}
	d.cancel()
	<-d.done
	d.cancel = nil
}
