package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"hyssoppitch/io/node"
)

// describeCopies returns what the store and each instance have of the directory, for reports of
// instances with an old configuration.
func (w *deployment) describeCopies() string {
	w.mu.Lock()
	out := []string{fmt.Sprintf("the store is at revision %d with configuration %d", w.store.Revision(), w.configVersion)}
	w.mu.Unlock()
	for _, in := range w.instances {
		s, err := in.routedStatus()
		if err != nil {
			out = append(out, fmt.Sprintf("%s: %v", in.name, err))
			continue
		}
		reads := s.DirectoryReads
		out = append(out, fmt.Sprintf("%s is at revision %d with configuration %d, current as of %v ago; %d listings, %d watches, %d failed calls",
			in.name, s.Revision, s.Version, time.Duration(s.DirectoryAgeMicros)*time.Microsecond, reads.Lists, reads.Watches, reads.Failures))
	}
	return strings.Join(out, "; ")
}

// routedStatus reads the counters of routed requests from an instance's metrics.
func (in *instance) routedStatus() (s node.RoutedStatus, err error) {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	reply, err := c.Get("http://" + in.controlAddress + node.PathVars)
	if err != nil {
		return s, err
	}
	defer func() { _ = reply.Body.Close() }()
	vars := struct {
		Routed *node.RoutedStatus `json:"routed"`
	}{&s}
	return s, json.NewDecoder(reply.Body).Decode(&vars)
}
