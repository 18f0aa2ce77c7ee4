package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/model"
)

// Keys of the platform's store that hold the configuration.
const (
	// RootKey holds the Root. Writing it is what accepts a configuration.
	RootKey = "config/root"
	// PartPrefix and a digest make the key of a part.
	PartPrefix = "config/part/"
)

// groupsPerPart bounds the size of a part: 256 groups of three servers take
// about 100 KB, a tenth of the largest value that the store takes.
const groupsPerPart = 256

// Digest is the SHA-256 of a part, in hexadecimal.
type Digest string

// Root names one accepted configuration: its version and the digests of the
// parts that make it up. It is small, whatever the number of servers.
type Root struct {
	// Version rises by one with each accepted change.
	Version uint64 `json:"version"`
	// Change identifies the command that wrote this root, so that its author can
	// tell its own write from another after a lost reply.
	Change string `json:"change"`
	// DataCentres is sorted by name.
	DataCentres []model.DataCentre `json:"data-centres"`
	// Services is sorted by name.
	Services []ServiceRef `json:"services"`
}

// ServiceRef names the parts of one service, in order of their keys.
type ServiceRef struct {
	Name  string   `json:"name"`
	Parts []Digest `json:"parts"`
}

// Part is one document of a service: its head and some of its groups.
type Part struct {
	Digest Digest
	// Data is the canonical JSON of a model.Service that holds only some groups.
	Data []byte
}

// Split divides a configuration into a root and its parts. A service that didn't
// change has the same digests as before.
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

func digestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Digests returns the digests that a root names, in order and without repeats.
func (r Root) Digests() []Digest {
	var out []Digest
	for _, s := range r.Services {
		out = append(out, s.Parts...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// ParseRoot reads a root as it stands in the store.
func ParseRoot(data []byte) (r Root, err error) {
	defer func() { err = errors.Wrap(err, "parse configuration root") }()
	return r, DecodeStrict(data, &r)
}

// Join puts a configuration together from its root and the data of its parts. It
// fails when a part is missing, doesn't match its digest, or when the whole
// doesn't pass Check.
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

// Matches reports whether data is the document that a digest names.
func Matches(d Digest, data []byte) bool { return digestOf(data) == d }
