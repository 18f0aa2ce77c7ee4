package engine

import (
	"fmt"
	"time"

	"hyssoppitch/core/event"
)

// directorySeen takes in changes of the directory.
func (e *Engine) directorySeen(now time.Time, v event.DirectorySeen) {
	if e.Roster.Away() {
		e.Emit(event.StateChanged{Kind: "directory", Name: "directory", From: "unreachable", To: "reachable"})
	}
	for _, c := range v.Changes {
		if c.Problem != "" {
			e.Emit(event.StateChanged{Kind: "directory-entry", Name: c.Key, To: "unreadable", Why: c.Problem})
		}
		if c.Routing == nil {
			continue
		}
		if e.Relay.Configure(c.Routing) {
			e.Emit(event.StateChanged{
				Kind: "routing-table", Name: fmt.Sprint(c.Routing.Version), To: "in-force",
				Why: fmt.Sprintf("%d routes", len(c.Routing.Routes)),
			})
		}
	}
	e.emitChanges(e.Roster.Apply(now, v))
}

// directoryLost notes that the directory gives no answer.
func (e *Engine) directoryLost(v event.DirectoryLost) {
	if e.Roster.Lost() {
		e.Emit(event.StateChanged{Kind: "directory", Name: "directory", From: "reachable", To: "unreachable", Why: v.Why})
	}
}

func (e *Engine) emitChanges(changes []event.StateChanged) {
	for _, c := range changes {
		e.Emit(c)
	}
}

// unfitToRelay returns why this instance must not take routed requests, or "". An
// instance that is cut off from the directory serves on by what it last heard:
// callers reach it, and mostly the backend servers too.
func (e *Engine) unfitToRelay() string {
	switch {
	case !e.Roster.Heard():
		return "the directory has not been read yet"
	case e.Relay.Table().Version == 0:
		return "the directory holds no routing table"
	}
	return ""
}
