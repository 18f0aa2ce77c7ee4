// Package conf parses, checks, prints and compares configurations, and splits a
// configuration into the small documents that the platform's store holds. The engine
// and package io/store fetch and distribute these documents.
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

// Limits of the numbers in a configuration.
const (
	maxSlots       = 1024
	maxConnections = 65536
	minDeadline    = 1e6  // 1ms in nanoseconds
	maxDeadline    = 60e9 // 60s in nanoseconds
)

// Parse parses a configuration from JSON, puts it in canonical order and checks it. If
// the check fails, the error names every invalid field.
func Parse(data []byte) (c model.Config, err error) {
	defer func() { err = errors.Wrap(err, "parse configuration") }()
	if err := DecodeStrict(data, &c); err != nil {
		return model.Config{}, err
	}
	Sort(&c)
	return c, Check(&c)
}

// Print returns the canonical JSON of a configuration, with one field per line. Equal
// configurations have the same bytes.
func Print(c model.Config) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "print configuration") }()
	Sort(&c)
	data, err = json.MarshalIndent(c, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}

// Sort sorts data centres and services by name, and groups by their first key.
// Classes and servers keep the order in which they were declared.
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
	k.checkDataCentres(c.DataCentres)
	names := map[string]bool{}
	for i := range c.Services {
		field := fmt.Sprintf("services[%d]", i)
		if names[c.Services[i].Name] {
			ps.Add(field+".name", c.Services[i].Name, "a name that no other service has")
		}
		names[c.Services[i].Name] = true
		k.checkService(field, &c.Services[i])
	}
	return ps.Err()
}

// checker walks a configuration and collects its problems.
type checker struct {
	problems            *Problems
	declaredDataCentres map[string]bool
	// servers and addresses map the IDs and the addresses of servers to the paths of
	// the servers in the configuration.
	servers   map[model.ServerID]string
	addresses map[string]string
}

// NameRule describes the names that ValidName accepts.
const NameRule = "1 to 64 of a-z, 0-9, '-' and '.'"

// ValidName reports whether a name is valid in a configuration or in settings.
func ValidName(name string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyz0123456789-."
	return name != "" && len(name) <= 64 && strings.Trim(name, allowed) == ""
}

func (k *checker) checkName(field, value string) {
	if !ValidName(value) {
		k.problems.Add(field, value, NameRule)
	}
}

func (k *checker) checkDataCentres(ds []model.DataCentre) {
	k.declaredDataCentres = map[string]bool{}
	if len(ds) == 0 {
		k.problems.Add("data-centres", "[]", "at least one data centre")
	}
	for i, d := range ds {
		field := fmt.Sprintf("data-centres[%d]", i)
		k.checkName(field+".name", d.Name)
		k.checkName(field+".region", d.Region)
		if k.declaredDataCentres[d.Name] {
			k.problems.Add(field+".name", d.Name, "a name that no other data centre has")
		}
		k.declaredDataCentres[d.Name] = true
		if d.State != model.DataCentreIn && d.State != model.DataCentreOut {
			k.problems.Add(field+".state", string(d.State), `"in" or "out"`)
		}
	}
}

func (k *checker) checkService(field string, s *model.Service) {
	k.checkName(field+".name", s.Name)
	if s.Epoch == 0 {
		k.problems.Add(field+".map-epoch", s.Epoch, "1 or more")
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		k.problems.Add(field+".slots", s.Slots, fmt.Sprintf("1 to %d", maxSlots))
	}
	if s.Connections < 1 || s.Connections > maxConnections {
		k.problems.Add(field+".connections", s.Connections, fmt.Sprintf("1 to %d", maxConnections))
	}
	k.checkClasses(field+".classes", s.Classes)
	k.checkGroups(field+".groups", s.Groups)
}

func (k *checker) checkClasses(field string, cs []model.Class) {
	if len(cs) == 0 {
		k.problems.Add(field, "[]", "at least one class")
	}
	seen := map[string]bool{}
	for i, c := range cs {
		path := fmt.Sprintf("%s[%d]", field, i)
		k.checkName(path+".name", c.Name)
		if seen[c.Name] {
			k.problems.Add(path+".name", c.Name, "a name that no other class of the service has")
		}
		seen[c.Name] = true
		if c.Deadline < minDeadline || c.Deadline > maxDeadline {
			k.problems.Add(path+".deadline", durationText(c.Deadline), `"1ms" to "1m0s"`)
		}
		if !(c.LeastCoverage >= 0 && c.LeastCoverage <= 1) {
			k.problems.Add(path+".least-coverage", c.LeastCoverage, "0 to 1")
		}
		if c.Patience < 0 || c.Patience > c.Deadline {
			k.problems.Add(path+".patience", durationText(c.Patience), "0 to the class's deadline")
		}
	}
}

// durationText returns a duration in the form of a configuration document.
func durationText(d model.Duration) string {
	b, _ := d.MarshalText()
	return string(b)
}

func (k *checker) checkGroups(field string, gs []model.Group) {
	if len(gs) == 0 {
		k.problems.Add(field, "[]", "at least one group")
		return
	}
	seen := map[string]bool{}
	var next uint32
	for i, g := range gs {
		path := fmt.Sprintf("%s[%d]", field, i)
		k.checkName(path+".name", g.Name)
		if seen[g.Name] {
			k.problems.Add(path+".name", g.Name, "a name that no other group of the service has")
		}
		seen[g.Name] = true
		if g.Keys.From != next || g.Keys.To <= g.Keys.From || g.Keys.To > model.KeySpace {
			k.problems.Add(path+".keys", fmt.Sprintf("[%d, %d)", g.Keys.From, g.Keys.To),
				fmt.Sprintf("a range that starts at %d, where the previous one ends, and ends at %d at most", next, model.KeySpace))
		}
		next = g.Keys.To
		k.checkServers(path+".servers", g.Servers)
	}
	if next != model.KeySpace {
		k.problems.Add(field, fmt.Sprintf("keys up to %d", next), fmt.Sprintf("ranges that end at %d", model.KeySpace))
	}
}

func (k *checker) checkServers(field string, ss []model.Server) {
	if len(ss) == 0 {
		k.problems.Add(field, "[]", "at least one server")
	}
	for i, s := range ss {
		path := fmt.Sprintf("%s[%d]", field, i)
		k.checkName(path+".id", string(s.ID))
		if other, ok := k.servers[s.ID]; ok {
			k.problems.Add(path+".id", string(s.ID), "an id that no other server has ("+other+" has it)")
		}
		k.servers[s.ID] = path
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			k.problems.Add(path+".address", s.Address, "an IP number and port")
		}
		if other, ok := k.addresses[s.Address]; ok {
			k.problems.Add(path+".address", s.Address, "an address that no other server has ("+other+" has it)")
		}
		k.addresses[s.Address] = path
		if !k.declaredDataCentres[s.DataCentre] {
			k.problems.Add(path+".data-centre", s.DataCentre, "the name of a declared data centre")
		}
	}
}
