package env

import (
	"container/list"
	"sync"
)

// Lifetime is the time during which something runs. It ends once, when End is called or when its parent ends. Functions
// registered with OnEnd run when it ends, in the order of registration, on the goroutine that ends it. They must not
// block.
type Lifetime struct {
	mu     sync.Mutex
	ended  bool
	hooks  list.List
	detach func() // unregisters the lifetime from its parent; nil without a parent
}

// NewLifetime returns a lifetime that ends at the latest when its parent ends. parent may be nil.
func NewLifetime(parent *Lifetime) *Lifetime {
	l := &Lifetime{}
	if parent != nil {
		l.detach = parent.OnEnd(l.End)
	}
	return l
}

// Ended reports whether the lifetime has ended.
func (l *Lifetime) Ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// OnEnd registers f to be called when the lifetime ends. If the lifetime has already ended, f is called immediately.
// drop unregisters f.
func (l *Lifetime) OnEnd(f func()) (drop func()) {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		f()
		return func() {}
	}
	hook := l.hooks.PushBack(f)
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.hooks.Remove(hook)
	}
}

// End ends the lifetime and calls the registered functions. Calls after the first have no effect.
func (l *Lifetime) End() {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return
	}
	l.ended = true
	var hooks []func()
	for e := l.hooks.Front(); e != nil; e = e.Next() {
		hooks = append(hooks, e.Value.(func()))
	}
	l.hooks.Init()
	l.mu.Unlock()
	if l.detach != nil {
		l.detach()
	}
	for _, f := range hooks {
		f()
	}
}
