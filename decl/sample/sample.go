// Package sample declares two deployments of typical size: one of an authority
// that looks up circuits and permits, and one of a transport trust that searches
// outings and books seats. They are examples for operators and the configuration
// of demonstrations and tests.
package sample

import (
	"fmt"
	"time"

	"hyssoppitch/decl"
)

// Layout specifies where the servers of a deployment listen: on consecutive ports
// of one IP address.
type Layout struct {
	IP       string
	BasePort int
}

// builder declares servers, and assigns each the next port and one of the data centres
// in turn.
type builder struct {
	layout      Layout
	dataCentres []string
	serverCount int
}

func (b *builder) server(service string, group, replica int) decl.Server {
	s := decl.Server{
		ID:         fmt.Sprintf("%s.g%02d.s%d", service, group, replica),
		Address:    fmt.Sprintf("%s:%d", b.layout.IP, b.layout.BasePort+b.serverCount),
		DataCentre: b.dataCentres[(group+replica)%len(b.dataCentres)],
	}
	b.serverCount++
	return s
}

func (b *builder) groups(service string, groups, replicas int) [][]decl.Server {
	out := make([][]decl.Server, groups)
	for g := range out {
		for r := range replicas {
			out[g] = append(out[g], b.server(service, g, r))
		}
	}
	return out
}

// Authority declares the deployment of the lamp-post power authority.
func Authority(l Layout) *decl.Deployment {
	d := &decl.Deployment{}
	b := &builder{layout: l, dataCentres: []string{"harbour", "hill", "plain"}}
	d.DataCentre("harbour", "coast")
	d.DataCentre("hill", "north")
	d.DataCentre("plain", "south")
	classes := []decl.Class{
		{Name: "lookup", Deadline: 250 * time.Millisecond, LeastCoverage: 0.9, Patience: 120 * time.Millisecond},
		{Name: "urgent", Urgent: true, Deadline: 200 * time.Millisecond, LeastCoverage: 1},
		{Name: "work-order", NonIdempotent: true, Deadline: 2 * time.Second, LeastCoverage: 1},
	}
	d.Service(decl.Service{
		Name: "circuit-desk", MapEpoch: 1, Slots: 3, Connections: 30, Classes: classes,
		Groups: b.groups("circuit-desk", 10, 3),
	})
	d.Service(decl.Service{
		Name: "festival-board", MapEpoch: 1, Slots: 3, Connections: 30, Classes: classes,
		Groups: b.groups("festival-board", 15, 3),
	})
	d.Service(decl.Service{
		Name: "post-register", MapEpoch: 1, Slots: 4, Connections: 100, Classes: classes,
		Groups: b.groups("post-register", 1, 14),
	})
	d.Service(decl.Service{
		Name: "council-feed", MapEpoch: 1, Slots: 4, Connections: 100, Classes: classes,
		Groups: b.groups("council-feed", 1, 7),
	})
	return d
}

// Trust declares the deployment of the community transport trust.
func Trust(l Layout) *decl.Deployment {
	d := &decl.Deployment{}
	b := &builder{layout: l, dataCentres: []string{"bay", "ridge", "valley"}}
	d.DataCentre("bay", "west")
	d.DataCentre("ridge", "centre")
	d.DataCentre("valley", "east")
	classes := []decl.Class{
		{Name: "search", Deadline: 400 * time.Millisecond, LeastCoverage: 0.95},
		{Name: "urgent", Urgent: true, Deadline: 300 * time.Millisecond, LeastCoverage: 1},
		{Name: "booking", NonIdempotent: true, Deadline: 2 * time.Second, LeastCoverage: 1},
	}
	d.Service(decl.Service{
		Name: "dispatch-desk", MapEpoch: 1, Slots: 2, Connections: 25, Classes: classes,
		Groups: b.groups("dispatch-desk", 10, 3),
	})
	d.Service(decl.Service{
		Name: "whanau-portal", MapEpoch: 1, Slots: 2, Connections: 25, Classes: classes,
		Groups: b.groups("whanau-portal", 15, 3),
	})
	d.Service(decl.Service{
		Name: "care-notes", MapEpoch: 1, Slots: 4, Connections: 40, Classes: classes,
		Groups: b.groups("care-notes", 1, 7),
	})
	d.Service(decl.Service{
		Name: "roster-sync", MapEpoch: 1, Slots: 4, Connections: 40, Classes: classes,
		Groups: b.groups("roster-sync", 1, 3),
	})
	return d
}
