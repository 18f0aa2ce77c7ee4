package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/model"
)

// Keys of the configuration in the platform's store.
const (
	// RootKey is the key of the Root. A configuration is accepted by writing its root.
	RootKey = "config/root"
	// PartPrefix, followed by the digest of a part, is the key of the part.
	PartPrefix = "config/part/"
)

// groupsPerPart is the maximum number of groups in a part. 256 groups of three servers
// take about 100 KB, a tenth of the largest value that the store accepts.
const groupsPerPart = 256

// Digest is the SHA-256 of a part, in hexadecimal.
type Digest string

// Root identifies an accepted configuration by its version and the digests of its
// parts. It stays small for any number of servers.
type Root struct {
	// Version increases by one with each accepted change.
	Version uint64 `json:"version"`
	// Change identifies the command that wrote this root, so that after a lost reply
	// the writer can tell whether this root is its own.
	Change string `json:"change"`
	// Era is the era of the store in which this root was accepted; zero if the store counts none.
	Era uint64 `json:"era,omitempty"`
	// DataCentres is sorted by name.
	DataCentres []model.DataCentre `json:"data-centres"`
	// Services is sorted by name.
	Services []ServiceRef `json:"services"`
}

// Newer reports whether a root replaces another one: it has a higher version, or is another change
// that was accepted under the same version after the store had lost that one.
func (r Root) Newer(o Root) bool {
	return r.Version > o.Version || (r.Version == o.Version && r.Change != o.Change && r.Era > o.Era)
}

// ServiceRef lists the parts of a service in the order of their keys.
type ServiceRef struct {
	Name  string   `json:"name"`
	Parts []Digest `json:"parts"`
}

// Part is a document with some groups of a service, and all its other fields.
type Part struct {
	Digest Digest
	// Data is the canonical JSON of a model.Service with only some of the groups.
	Data []byte
}

// Split divides a configuration into a root and its parts. The digests of a service's
// parts depend on that service only, so a service that doesn't change keeps them.
func Split(c model.Config) (r Root, parts []Part, err error) {
	defer func() { err = errors.Wrap(err, "split configuration") }()
	Sort(&c)
	r = Root{Version: c.Version, Change: c.Change, DataCentres: c.DataCentres}
	for _, s := range c.Services {
		ref := ServiceRef{Name: s.Name}
		for groups := range slices.Chunk(s.Groups, groupsPerPart) {
			partial := s
			partial.Groups = groups
			data, err := json.Marshal(partial)
			if err != nil {
				return Root{}, nil, err
			}
			p := Part{Digest: digestOf(data), Data: data}
			ref.Parts = append(ref.Parts, p.Digest)
			parts = append(parts, p)
		}
		r.Services = append(r.Services, ref)
	}
	return r, parts, nil
}

// digestOf returns the digest of a part's data.
func digestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Digests returns the digests of a root's parts, sorted and without duplicates.
func (r Root) Digests() []Digest {
	var out []Digest
	for _, s := range r.Services {
		out = append(out, s.Parts...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// ParseRoot parses the stored form of a root.
func ParseRoot(data []byte) (r Root, err error) {
	defer func() { err = errors.Wrap(err, "parse configuration root") }()
	return r, DecodeStrict(data, &r)
}

// Join assembles a configuration from its root and the data of its parts. It fails if
// a part is missing or doesn't match its digest, or if the configuration doesn't pass
// Check.
func Join(r Root, data map[Digest][]byte) (c model.Config, err error) {
	defer func() { err = errors.Wrapf(err, "join configuration version %d", r.Version) }()
	c = model.Config{Version: r.Version, Change: r.Change, DataCentres: r.DataCentres}
	for _, ref := range r.Services {
		s, err := joinService(ref, data)
		if err != nil {
			return model.Config{}, err
		}
		c.Services = append(c.Services, s)
	}
	return c, Check(&c)
}

// joinService assembles a service from the data of its parts.
func joinService(ref ServiceRef, data map[Digest][]byte) (s model.Service, err error) {
	defer func() { err = errors.Wrapf(err, "service %q", ref.Name) }()
	var groups []model.Group
	for _, d := range ref.Parts {
		body, ok := data[d]
		if !ok {
			return s, errors.Newf("part %s is missing", d)
		}
		if got := digestOf(body); got != d {
			return s, errors.Newf("part %s has digest %s", d, got)
		}
		var partial model.Service
		if err := DecodeStrict(body, &partial); err != nil {
			return s, err
		}
		s = partial
		groups = append(groups, partial.Groups...)
	}
	s.Groups = groups
	return s, nil
}

// Matches reports whether d is the digest of data.
func Matches(d Digest, data []byte) bool { return digestOf(data) == d }
