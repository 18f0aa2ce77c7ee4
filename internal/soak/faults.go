package main

import (
	"fmt"
	"maps"
	"net/http"
	"syscall"
	"time"

	"hyssoppitch/platform/stand"
)

// fault is a kind of fault; inject returns the function that undoes it, or nil.
type fault struct {
	name   string
	inject func(w *deployment) (undo func())
}

// faults lists the kinds of faults, which are drawn at random and may overlap. Append new ones
// at the end: a failed seed is repeated with the first seedPlan.faultKinds ones, as many as
// there were when it failed.
var faults = []fault{
	{"terminate", func(w *deployment) func() {
		in := w.randomInstance()
		exited := in.signal(syscall.SIGTERM)
		return func() { w.restart(in, exited) }
	}},
	{"kill", func(w *deployment) func() {
		in := w.randomInstance()
		exited := in.signal(syscall.SIGKILL)
		return func() { w.restart(in, exited) }
	}},
	{"pause", func(w *deployment) func() {
		in := w.randomInstance()
		_ = in.signal(syscall.SIGSTOP)
		return func() { _ = in.signal(syscall.SIGCONT) }
	}},
	{"reload", func(w *deployment) func() {
		_ = w.randomInstance().signal(syscall.SIGHUP)
		return nil
	}},
	{"cut one instance from the store", func(w *deployment) func() {
		in, m := w.randomInstance(), []mode{modeSilent, modeOneWay, modeRefuse, modeSlow}[w.rand.IntN(4)]
		w.recordStoreFault()
		in.store.setMode(m)
		return func() {
			in.store.setMode(modeForward)
			w.recordStoreFault()
		}
	}},
	{"reset an instance's connections to the store", func(w *deployment) func() {
		w.recordStoreFault()
		w.randomInstance().store.reset()
		return nil
	}},
	{"store busy", func(w *deployment) func() {
		w.recordStoreFault()
		w.store.SetBusy(true)
		return func() {
			w.store.SetBusy(false)
			w.recordStoreFault()
		}
	}},
	{"store forgets its history", func(w *deployment) func() {
		w.store.DropHistory()
		return nil
	}},
	{"configuration", func(w *deployment) func() {
		w.putNextConfig()
		return nil
	}},
	{"disturb the way to a server", func(w *deployment) func() {
		b, m := w.randomServer(), []mode{modeSilent, modeOneWay, modeRefuse, modeSlow}[w.rand.IntN(4)]
		b.proxy.setMode(m)
		return func() { b.proxy.setMode(modeForward) }
	}},
	{"reset a server's connections", func(w *deployment) func() {
		w.randomServer().proxy.reset()
		return nil
	}},
	{"misbehaving server", func(w *deployment) func() {
		b := w.randomServer()
		b.SetBehaviour(time.Duration(w.rand.IntN(200))*time.Millisecond, 0.5*w.rand.Float64(), 0.3*w.rand.Float64())
		return func() { b.SetBehaviour(3*time.Millisecond, 0, 0) }
	}},
	{"replace a server", func(w *deployment) func() {
		b := w.randomServer()
		if err := w.addServer(b.Group, b.DataCentre); err != nil {
			w.checks.fail("server can't be started: %v", err)
			return nil
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if b.replaced {
			return nil
		}
		b.replaced, b.drainingSince = true, time.Now()
		delete(w.backends, b.ID)
		w.retired = append(w.retired, b)
		w.register(b, "draining")
		return func() {
			// A draining server keeps serving for longer than drainGrace.
			time.Sleep(drainGrace)
			w.store.RemoveServer(b.ID)
			b.Close()
			b.proxy.close()
		}
	}},
	{"evacuate a data centre", func(w *deployment) func() {
		dataCentre := dataCentres[w.rand.IntN(len(dataCentres))]
		w.store.Evacuate(dataCentre, true)
		return func() { w.store.Evacuate(dataCentre, false) }
	}},
	{"request that crashes servers", func(w *deployment) func() { return w.sendCrashingRequests() }},
}

const (
	// crashingRequests is how often a crashing request is sent, and crashingInterval the
	// pause in between.
	crashingRequests = 10
	crashingInterval = 150 * time.Millisecond
	// maxCrashesPerGroup is the maximum number of crashes in a group that a series of these
	// requests may cause.
	maxCrashesPerGroup = 2
)

// sendCrashingRequests repeatedly sends a request that crashes the servers that execute it,
// through the instances in turn. The returned function waits for the last one and checks the
// number of crashes, unless an instance was interrupted or left: an instance that learns of
// the crashes late, or has restarted since, may cause more of them.
func (w *deployment) sendCrashingRequests() (undo func()) {
	w.mu.Lock()
	w.lastID++
	name := fmt.Sprintf("x%d", w.lastID)
	before := maps.Clone(w.crashesByGroup)
	w.mu.Unlock()
	start, done := time.Now(), make(chan struct{})
	first := w.rand.IntN(len(w.instances))
	go func() {
		defer close(done)
		client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for n := range crashingRequests {
			w.sendAndCheck(client, w.instances[(first+n)%len(w.instances)], fmt.Sprintf("%s-%d", name, n), "/find/"+name+stand.CrashingPath, false)
			time.Sleep(crashingInterval)
		}
	}()
	return func() {
		<-done
		for _, in := range w.instances {
			if interrupted, leaving := in.recentFaults(start); interrupted || leaving {
				return
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for group, n := range w.crashesByGroup {
			if n -= before[group]; n > maxCrashesPerGroup {
				w.checks.fail("request %s caused %d crashes in group %s, want at most %d", name, n, group, maxCrashesPerGroup)
			}
		}
	}
}

// recordStoreFault records that a fault of the store begins or ends now.
func (w *deployment) recordStoreFault() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeFaultAt = time.Now()
}

func (w *deployment) randomInstance() *instance { return w.instances[w.rand.IntN(len(w.instances))] }

// randomServer returns a random server that has not been replaced.
func (w *deployment) randomServer() *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range 1000 {
		id := fmt.Sprintf("s%d", 1+w.rand.IntN(w.lastID))
		if b := w.backends[id]; b != nil {
			return b
		}
	}
	panic("no server found")
}
