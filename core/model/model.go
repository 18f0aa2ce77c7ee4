// Package model defines the data types that the other packages share: services,
// shard groups, backend servers, data centres, classes, routes and the configuration
// that contains them. It holds plain values only. Package conf reads, validates and
// splits configuration documents; the other packages of core make the decisions.
package model

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// KeySpace is the number of positions that the keys of a service hash to. Key
// ranges are half-open intervals of positions in [0, KeySpace).
const KeySpace = 1 << 16

// ServerID identifies a backend server. It is unique over all services.
type ServerID string

// InstanceID identifies an instance of hyssoppitch. It is unique in the deployment.
type InstanceID string

// Incarnation distinguishes successive starts of an instance with the same InstanceID. It
// is the start time in nanoseconds, so that a later start has the larger number.
type Incarnation uint64

// Snapshot is a version of the index. Zero means unknown.
type Snapshot uint64

// MapEpoch is a version of a service's division of the key space into groups.
type MapEpoch uint64

// Position returns the position of a routing key in the key space.
func Position(key string) uint32 {
	return uint32(xxhash.Sum64String(key) % KeySpace)
}

// Range is the half-open interval [From, To) of key positions.
type Range struct {
	// From is the first position of the range.
	From uint32 `json:"from"`
	// To is the position after the last; From < To <= KeySpace.
	To uint32 `json:"to"`
}

// Contains reports whether position p lies in the range.
func (r Range) Contains(p uint32) bool { return r.From <= p && p < r.To }

// Size returns the number of positions in the range.
func (r Range) Size() uint32 { return r.To - r.From }

// Duration is a time.Duration that is serialized with its unit, as in "150ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. A number without a unit is
// an error.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	defer func() {
		err = errors.Wrapf(err, "duration %q (want a number with a unit, such as \"150ms\" or \"2s\")", text)
	}()
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.New("not a duration")
	}
	*d = Duration(v)
	return nil
}

// Server is one backend server as the operators declare it.
type Server struct {
	// ID is unique in the configuration.
	ID ServerID `json:"id"`
	// Address is an IP address and port.
	Address string `json:"address"`
	// DataCentre names an entry of Config.DataCentres.
	DataCentre string `json:"data-centre"`
}

// Group is one shard group: the servers that hold the same part of the key space.
type Group struct {
	// Name is unique within the service.
	Name string `json:"name"`
	// Keys is the group's part of the key space. The ranges of a service's
	// groups cover the key space without gap or overlap.
	Keys Range `json:"keys"`
	// Servers holds at least one server.
	Servers []Server `json:"servers"`
}

// Class defines how one type of request is treated.
type Class struct {
	// Name is unique within the service.
	Name string `json:"name"`
	// Urgent requests are admitted and dispatched before others.
	Urgent bool `json:"urgent,omitempty"`
	// NonIdempotent requests are executed at most once and need an Idempotency-Key.
	NonIdempotent bool `json:"non-idempotent,omitempty"`
	// Deadline is the time limit for an answer if the caller gives none, and the
	// maximum that a caller may set.
	Deadline Duration `json:"deadline"`
	// LeastCoverage is the fraction of the asked key space, in [0, 1], below
	// which an answer has the status "thin".
	LeastCoverage float64 `json:"least-coverage"`
	// Patience is how long a query waits for full coverage once LeastCoverage
	// is reached. Zero means until the deadline.
	Patience Duration `json:"patience,omitempty"`
}

// Service is one searchable index and the groups that store it.
type Service struct {
	// Name is unique within the configuration.
	Name string `json:"name"`
	// Epoch increases whenever the division of the key space into Groups changes.
	Epoch MapEpoch `json:"map-epoch"`
	// Slots is the number of requests that one server executes concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that one server accepts.
	Connections int `json:"connections"`
	// Classes holds at least one class.
	Classes []Class `json:"classes"`
	// Groups is sorted by Keys.From.
	Groups []Group `json:"groups"`
}

// Class returns the class with the given name; the empty name means the first.
func (s *Service) Class(name string) (c Class, ok bool) {
	if name == "" && len(s.Classes) > 0 {
		return s.Classes[0], true
	}
	i := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
	if i < 0 {
		return Class{}, false
	}
	return s.Classes[i], true
}

// GroupAt returns the index of the group that holds position p, or -1.
func (s *Service) GroupAt(p uint32) int {
	return slices.IndexFunc(s.Groups, func(g Group) bool { return g.Keys.Contains(p) })
}

// DataCentreState states whether a data centre receives requests.
type DataCentreState string

// The states of a data centre.
const (
	// DataCentreIn means that the data centre is in service.
	DataCentreIn DataCentreState = "in"
	// DataCentreOut means that the data centre is taken out of service: its servers
	// get no requests.
	DataCentreOut DataCentreState = "out"
)

// DataCentre is a location of backend servers and instances.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// State is DataCentreIn or DataCentreOut.
	State DataCentreState `json:"state"`
}

// Config is one accepted configuration. A published Config is immutable: a change
// builds a new one.
type Config struct {
	// Version increases by one with each accepted change. Zero means that no
	// configuration has been accepted yet.
	Version uint64 `json:"version"`
	// Change identifies the operator command that made this version.
	Change string `json:"change,omitempty"`
	// DataCentres is sorted by name.
	DataCentres []DataCentre `json:"data-centres"`
	// Services is sorted by name.
	Services []Service `json:"services"`
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// IsOut reports whether the data centre is taken out of service. A data centre that
// is missing from the configuration counts as out.
func (c *Config) IsOut(dataCentre string) bool {
	for _, d := range c.DataCentres {
		if d.Name == dataCentre {
			return d.State != DataCentreIn
		}
	}
	return true
}

// Instance is one running instance of hyssoppitch as its peers know it.
type Instance struct {
	ID          InstanceID  `cbor:"1,keyasint" json:"id"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
	// Address is the IP address and port of the instance's listener.
	Address    string `cbor:"3,keyasint" json:"address"`
	DataCentre string `cbor:"4,keyasint" json:"data-centre"`
}
