package scheduler

import (
	"context"
	"sync"
)

// lifetime spans the time from NewServer until the context of Server.Run ends. It owns the goroutines that outlive the call that
// starts them, so that Run can wait for them before it returns.
type lifetime struct {
	ended chan struct{} // closed when the context of Run has ended

	mu         sync.Mutex
	closed     bool           // guarded by mu; set by wait: no goroutine may be started any more
	goroutines sync.WaitGroup // incremented only under mu and while closed is false
}

func newLifetime() *lifetime { return &lifetime{ended: make(chan struct{})} }

// start runs f in a goroutine of its own. It returns false, and does not run f, once wait has been called.
func (l *lifetime) start(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.goroutines.Go(f)
	return true
}

// newContext returns a context that ends with the lifetime or when cancel is called, which its caller must do. A write that
// serves a request runs under this context and not under the request's: a request that ends early would otherwise abort the
// write and leave its outcome unknown.
func (l *lifetime) newContext() (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(context.Background())
	started := l.start(func() {
		select {
		case <-l.ended:
			cancel()
		case <-ctx.Done():
		}
	})
	if !started {
		cancel()
	}
	return ctx, cancel
}

// end records that the context of Run has ended. It must be called only once.
func (l *lifetime) end() { close(l.ended) }

// wait prevents further starts, and returns when all goroutines that were started have returned.
func (l *lifetime) wait() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.goroutines.Wait()
}
