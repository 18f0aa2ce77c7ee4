package main

import (
	"fmt"
	"syscall"
	"time"
)

// fault is one kind of disturbance; it returns what undoes it.
type fault struct {
	name string
	do   func(w *world) (undo func())
}

// faults are drawn one after the other, and overlap.
var faults = []fault{
	{"terminate", func(w *world) func() {
		in := w.anyInstance()
		in.signal(syscall.SIGTERM)
		return func() { w.restart(in) }
	}},
	{"kill", func(w *world) func() {
		in := w.anyInstance()
		in.signal(syscall.SIGKILL)
		return func() { w.restart(in) }
	}},
	{"pause", func(w *world) func() {
		in := w.anyInstance()
		in.signal(syscall.SIGSTOP)
		return func() { in.signal(syscall.SIGCONT) }
	}},
	{"reload", func(w *world) func() {
		w.anyInstance().signal(syscall.SIGHUP)
		return nil
	}},
	{"cut one instance from the store", func(w *world) func() {
		in, m := w.anyInstance(), []mode{silent, oneWay, refuse, slow}[w.rand.IntN(4)]
		w.hurtStore()
		in.store.set(m)
		return func() {
			in.store.set(pass)
			w.hurtStore()
		}
	}},
	{"reset an instance's connections to the store", func(w *world) func() {
		w.hurtStore()
		w.anyInstance().store.reset()
		return nil
	}},
	{"store busy", func(w *world) func() {
		w.hurtStore()
		w.store.Busy(true)
		return func() {
			w.store.Busy(false)
			w.hurtStore()
		}
	}},
	{"store forgets its history", func(w *world) func() {
		w.store.Forget()
		return nil
	}},
	{"configuration", func(w *world) func() {
		w.configure()
		return nil
	}},
	{"disturb the way to a server", func(w *world) func() {
		b, m := w.anyServer(), []mode{silent, oneWay, refuse, slow}[w.rand.IntN(4)]
		b.proxy.set(m)
		return func() { b.proxy.set(pass) }
	}},
	{"reset a server's connections", func(w *world) func() {
		w.anyServer().proxy.reset()
		return nil
	}},
	{"misbehaving server", func(w *world) func() {
		b := w.anyServer()
		b.Behave(time.Duration(w.rand.IntN(200))*time.Millisecond, 0.5*w.rand.Float64(), 0.3*w.rand.Float64())
		return func() { b.Behave(3*time.Millisecond, 0, 0) }
	}},
	{"replace a server", func(w *world) func() {
		b := w.anyServer()
		if err := w.addServer(b.Group, b.Zone); err != nil {
			w.checks.fail("server does not start: %v", err)
			return nil
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if b.gone {
			return nil
		}
		b.gone, b.leftAt = true, time.Now()
		delete(w.backends, b.ID)
		w.retired = append(w.retired, b)
		w.register(b, "draining")
		return func() {
			// A server that leaves serves on for the bound and a little longer.
			time.Sleep(drainBound)
			w.store.RemoveServer(b.ID)
			b.Close()
			b.proxy.close()
		}
	}},
	{"evacuate a data centre", func(w *world) func() {
		zone := zones[w.rand.IntN(len(zones))]
		w.store.Evacuate(zone, true)
		return func() { w.store.Evacuate(zone, false) }
	}},
}

func (w *world) hurtStore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeHurtAt = time.Now()
}

func (w *world) anyInstance() *instance { return w.nodes[w.rand.IntN(len(w.nodes))] }

func (w *world) anyServer() *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range 1000 {
		id := fmt.Sprintf("s%d", 1+w.rand.IntN(w.nextID))
		if b := w.backends[id]; b != nil {
			return b
		}
	}
	panic("no server is left")
}
