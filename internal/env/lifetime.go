package env

import (
	"container/list"
	"sync"
)

// Lifetime is how long something runs. It ends once, by its own End or with its parent. Functions registered with OnEnd run when it
// ends, in the order of their registration, in the goroutine that ends it, and must not wait.
type Lifetime struct {
	mu     sync.Mutex
	ended  bool
	hooks  list.List
	detach func() // from the parent; nil: none
}

// NewLifetime returns a lifetime that ends with its parent, which may be nil.
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

// OnEnd calls f when the lifetime ends; at once if it has ended already. drop takes f off again.
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

// End ends the lifetime. Calls after the first do nothing.
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
