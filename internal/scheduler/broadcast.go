package scheduler

// broadcast wakes all goroutines that wait for a change. It has no lock of its own: its user guards it.
type broadcast struct{ changed chan struct{} }

func newBroadcast() broadcast { return broadcast{make(chan struct{})} }

// next returns a channel that is closed by the next notification.
func (b *broadcast) next() <-chan struct{} { return b.changed }

// notify wakes all goroutines that wait on the present channel.
func (b *broadcast) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}
