package env

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestLifetime(t *testing.T) {
	t.Run("ends once, with what hangs on it in order, and its children", func(t *testing.T) {
		said := ""
		say := func(s string) func() { return func() { said += s } }
		parent := NewLifetime(nil)
		parent.OnEnd(say("a"))
		drop := parent.OnEnd(say("b"))
		child := NewLifetime(parent)
		child.OnEnd(say("c"))
		parent.OnEnd(say("d"))
		drop()
		parent.End()
		parent.End()
		if said != "acd" || !child.Ended() || !parent.Ended() {
			t.Error(said)
		}
		if parent.OnEnd(say("e")); said != "acde" {
			t.Error("what is hung on a life that is over does not run at once:", said)
		}
	})
	t.Run("a child that ends lets go of its parent", func(t *testing.T) {
		parent := NewLifetime(nil)
		for range 100 {
			NewLifetime(parent).End()
		}
		if parent.Ended() || parent.hooks.Len() != 0 {
			t.Errorf("%d hang on it", parent.hooks.Len())
		}
	})
}

func TestSystem(t *testing.T) {
	var log bytes.Buffer
	g := NewSystem(&log, slog.LevelWarn)
	t.Run("a bell keeps one ring, and gives up in time", func(t *testing.T) {
		b := g.NewNotifier()
		b.Notify()
		b.Notify()
		if !b.Wait(-1) || b.Wait(0) || b.Wait(time.Millisecond) {
			t.Error("rings are lost or made up")
		}
		go b.Notify()
		if !b.Wait(-1) {
			t.Error("not rung")
		}
	})
	t.Run("a group gives the first error", func(t *testing.T) {
		all := g.NewGroup()
		var n atomic.Int32
		for range 3 {
			all.Go("part", func() error { n.Add(1); return io.ErrUnexpectedEOF })
		}
		if err := all.Wait(); err != io.ErrUnexpectedEOF || n.Load() != 3 {
			t.Errorf("%v, %d", err, n.Load())
		}
	})
	t.Run("dialling is refused, or ends with its life", func(t *testing.T) {
		l, err := g.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := l.Addr().String()
		life := NewLifetime(nil)
		c, err := g.Dial(life, addr, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := c.(Conn); !ok {
			t.Error("cannot close one side")
		}
		c.Close()
		l.Close()
		if _, err := g.Dial(life, addr, time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%v", err)
		}
		life.End()
		var op *net.OpError
		if _, err := g.Dial(life, addr, time.Second); !errors.As(err, &op) || errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%v", err)
		}
	})
	t.Run("signals are heard until stopped", func(t *testing.T) {
		heard := make(chan Signal, 4)
		stop := g.OnSignal(func(s Signal) { heard <- s })
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		if s := <-heard; s != Reload {
			t.Error(s)
		}
		syscall.Kill(os.Getpid(), syscall.SIGTERM)
		if s := <-heard; s != Terminate {
			t.Error(s)
		}
		stop()
	})
	t.Run("the log is key=value, from its level on", func(t *testing.T) {
		g.Log().Info("unseen")
		g.Log().Warn("seen", "text", "two words", "n", 3)
		if got := log.String(); !strings.Contains(got, `level=WARN event=seen text="two words" n=3`) || strings.Contains(got, "unseen") {
			t.Error(got)
		}
	})
}
