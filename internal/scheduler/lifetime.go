package scheduler

import (
	"context"
	"sync"
)

// lifetime is the time from New until the context of Server.Run ends. It owns the goroutines that outlive the call that
// starts them: Run waits for them before it returns.
type lifetime struct {
	over chan struct{} // closed when the context of Run has ended

	mu     sync.Mutex
	closed bool           // guarded by mu: nothing is started any more
	tasks  sync.WaitGroup // incremented under mu only while closed is false
}

func newLifetime() *lifetime { return &lifetime{over: make(chan struct{})} }

// start runs f in a goroutine of its own; false once wait has begun.
func (l *lifetime) start(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.tasks.Go(f)
	return true
}

// newContext returns a context that ends with the lifetime or when cancel is called, which its caller must do. A write that a
// request begins lives under it: the request's own end must not leave the outcome of the write unknown.
func (l *lifetime) newContext() (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(context.Background())
	started := l.start(func() {
		select {
		case <-l.over:
			cancel()
		case <-ctx.Done():
		}
	})
	if !started {
		cancel()
	}
	return ctx, cancel
}

// end marks that the context of Run has ended. It is called once.
func (l *lifetime) end() { close(l.over) }

// wait returns when all that was started has returned; nothing is started from then on.
func (l *lifetime) wait() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.tasks.Wait()
}
