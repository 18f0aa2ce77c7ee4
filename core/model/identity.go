package model

import (
	"encoding/hex"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by what it asks, independent of the caller: the service and the
// body, or the method, host, target and body of a routed request.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a query body sent to a service.
func FingerprintOf(service string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Traits are hashes of the headers of a request, in ascending order. Of the headers of a request that
// comes again, some identify its caller and others differ each time, for example those of tracing;
// their names don't tell which.
type Traits []uint64

// maxTraits limits the traits of a request: those with the smallest hashes are kept.
const maxTraits = 64

// Valid reports whether the traits are in ascending order and not too many.
func (t Traits) Valid() bool {
	for i := 1; i < len(t); i++ {
		if t[i-1] >= t[i] {
			return false
		}
	}
	return len(t) <= maxTraits
}

// NewTraits returns the traits of the given header lines.
func NewTraits(headers []string) Traits {
	out := make(Traits, 0, len(headers))
	for _, h := range headers {
		out = append(out, xxhash.Sum64String(h))
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), maxTraits)]
}

// With returns the traits with that of a further header line.
func (t Traits) With(header string) Traits {
	out := t.Union(NewTraits([]string{header}))
	return out[:min(len(out), maxTraits)]
}

// Within reports whether o has all of the traits.
func (t Traits) Within(o Traits) bool { return len(t.Common(o)) == len(t) }

// Common returns the traits that both have.
func (t Traits) Common(o Traits) (common Traits) {
	for _, x := range t {
		if _, ok := slices.BinarySearch(o, x); ok {
			common = append(common, x)
		}
	}
	return common
}

// Union returns the traits that either has.
func (t Traits) Union(o Traits) Traits {
	out := slices.Concat(t, o)
	slices.Sort(out)
	return slices.Compact(out)
}

// Identity identifies a request as far as it can be recognized when it comes again.
type Identity struct {
	// Fingerprint is the same each time.
	Fingerprint Fingerprint
	// Traits are the headers; those that identify the caller are the same each time.
	Traits Traits
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	b := make([]byte, 0, 8)
	for shift := 56; shift >= 0; shift -= 8 {
		b = append(b, byte(f>>shift))
	}
	return hex.EncodeToString(b)
}
