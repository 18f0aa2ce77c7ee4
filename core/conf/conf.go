// Package conf owns the configuration document: reading it strictly, checking
// it, printing it in canonical form, comparing two of them, and splitting one
// into the small documents that the platform's store holds. Fetching and
// spreading those documents is left to the engine and to package io/store.
package conf

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/model"
)

// Limits on the numbers that a configuration may hold.
const (
	maxSlots       = 1024
	maxConnections = 65536
	minDeadline    = 1e6  // 1ms in nanoseconds
	maxDeadline    = 60e9 // 60s in nanoseconds
)

// Parse reads a configuration from JSON, checks it and puts it in canonical
// order. The error names every field that is wrong.
func Parse(data []byte) (c model.Config, err error) {
	defer func() { err = errors.Wrap(err, "parse configuration") }()
	if err := DecodeStrict(data, &c); err != nil {
		return model.Config{}, err
	}
	Sort(&c)
	return c, Check(&c)
}

// Print returns the canonical JSON of a configuration: the same bytes for the
// same declarations, one field a line.
func Print(c model.Config) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "print configuration") }()
	Sort(&c)
	data, err = json.MarshalIndent(c, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}

// Sort puts data centres and services in order of name, and groups in order of
// their first key. Classes and servers keep the order that they were declared in.
func Sort(c *model.Config) {
	c.DataCentres = slices.Clone(c.DataCentres)
	c.Services = slices.Clone(c.Services)
	slices.SortStableFunc(c.DataCentres, func(a, b model.DataCentre) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Services, func(a, b model.Service) int { return strings.Compare(a.Name, b.Name) })
	for i := range c.Services {
		groups := slices.Clone(c.Services[i].Groups)
		slices.SortStableFunc(groups, func(a, b model.Group) int { return int(a.Keys.From) - int(b.Keys.From) })
		c.Services[i].Groups = groups
	}
}

// Check returns a Problems error for a configuration that breaks an invariant of
// package model.
func Check(c *model.Config) error {
	var ps Problems
	k := checker{problems: &ps, servers: map[model.ServerID]string{}, addresses: map[string]string{}}
	k.dataCentres(c.DataCentres)
	names := map[string]bool{}
	for i := range c.Services {
		field := fmt.Sprintf("services[%d]", i)
		if names[c.Services[i].Name] {
			ps.Add(field+".name", c.Services[i].Name, "a name that no other service has")
		}
		names[c.Services[i].Name] = true
		k.service(field, &c.Services[i])
	}
	return ps.Err()
}

// checker walks a configuration and collects its problems.
type checker struct {
	problems  *Problems
	places    map[string]bool
	servers   map[model.ServerID]string
	addresses map[string]string
}

// WantName says what ValidName allows.
const NameRule = "1 to 64 of a-z, 0-9, '-' and '.'"

// ValidName reports whether a name may stand in a configuration or in settings.
func ValidName(name string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyz0123456789-."
	return name != "" && len(name) <= 64 && strings.Trim(name, allowed) == ""
}

func (k *checker) name(field, value string) {
	if !ValidName(value) {
		k.problems.Add(field, value, NameRule)
	}
}

func (k *checker) dataCentres(ds []model.DataCentre) {
	k.places = map[string]bool{}
	if len(ds) == 0 {
		k.problems.Add("data-centres", "[]", "at least one data centre")
	}
	for i, d := range ds {
		field := fmt.Sprintf("data-centres[%d]", i)
		k.name(field+".name", d.Name)
		k.name(field+".region", d.Region)
		if k.places[d.Name] {
			k.problems.Add(field+".name", d.Name, "a name that no other data centre has")
		}
		k.places[d.Name] = true
		if d.State != model.DataCentreIn && d.State != model.DataCentreOut {
			k.problems.Add(field+".state", string(d.State), `"in" or "out"`)
		}
	}
}

func (k *checker) service(field string, s *model.Service) {
	k.name(field+".name", s.Name)
	if s.Epoch == 0 {
		k.problems.Add(field+".map-epoch", s.Epoch, "1 or more")
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		k.problems.Add(field+".slots", s.Slots, fmt.Sprintf("1 to %d", maxSlots))
	}
	if s.Connections < 1 || s.Connections > maxConnections {
		k.problems.Add(field+".connections", s.Connections, fmt.Sprintf("1 to %d", maxConnections))
	}
	k.classes(field+".classes", s.Classes)
	k.groups(field+".groups", s.Groups)
}

func (k *checker) classes(field string, cs []model.Class) {
	if len(cs) == 0 {
		k.problems.Add(field, "[]", "at least one class")
	}
	seen := map[string]bool{}
	for i, c := range cs {
		at := fmt.Sprintf("%s[%d]", field, i)
		k.name(at+".name", c.Name)
		if seen[c.Name] {
			k.problems.Add(at+".name", c.Name, "a name that no other class of the service has")
		}
		seen[c.Name] = true
		if c.Deadline < minDeadline || c.Deadline > maxDeadline {
			k.problems.Add(at+".deadline", text(c.Deadline), `"1ms" to "1m0s"`)
		}
		if !(c.LeastCoverage >= 0 && c.LeastCoverage <= 1) {
			k.problems.Add(at+".least-coverage", c.LeastCoverage, "0 to 1")
		}
		if c.Patience < 0 || c.Patience > c.Deadline {
			k.problems.Add(at+".patience", text(c.Patience), "0 to the class's deadline")
		}
	}
}

// text returns a duration as it is written in a document.
func text(d model.Duration) string {
	b, _ := d.MarshalText()
	return string(b)
}

func (k *checker) groups(field string, gs []model.Group) {
	if len(gs) == 0 {
		k.problems.Add(field, "[]", "at least one group")
		return
	}
	seen := map[string]bool{}
	var next uint32
	for i, g := range gs {
		at := fmt.Sprintf("%s[%d]", field, i)
		k.name(at+".name", g.Name)
		if seen[g.Name] {
			k.problems.Add(at+".name", g.Name, "a name that no other group of the service has")
		}
		seen[g.Name] = true
		if g.Keys.From != next || g.Keys.To <= g.Keys.From || g.Keys.To > model.KeySpace {
			k.problems.Add(at+".keys", fmt.Sprintf("[%d, %d)", g.Keys.From, g.Keys.To),
				fmt.Sprintf("a range that starts at %d, where the one before ends, and ends at %d at most", next, model.KeySpace))
		}
		next = g.Keys.To
		k.groupServers(at+".servers", g.Servers)
	}
	if next != model.KeySpace {
		k.problems.Add(field, fmt.Sprintf("keys up to %d", next), fmt.Sprintf("ranges that end at %d", model.KeySpace))
	}
}

func (k *checker) groupServers(field string, ss []model.Server) {
	if len(ss) == 0 {
		k.problems.Add(field, "[]", "at least one server")
	}
	for i, s := range ss {
		at := fmt.Sprintf("%s[%d]", field, i)
		k.name(at+".id", string(s.ID))
		if other, ok := k.servers[s.ID]; ok {
			k.problems.Add(at+".id", string(s.ID), "an id that no other server has ("+other+" has it)")
		}
		k.servers[s.ID] = at
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			k.problems.Add(at+".address", s.Address, "an IP number and port")
		}
		if other, ok := k.addresses[s.Address]; ok {
			k.problems.Add(at+".address", s.Address, "an address that no other server has ("+other+" has it)")
		}
		k.addresses[s.Address] = at
		if !k.places[s.DataCentre] {
			k.problems.Add(at+".data-centre", s.DataCentre, "the name of a declared data centre")
		}
	}
}
