package model

import (
	"crypto/sha256"
	"math"
)

// KeyDigest is the SHA-256 digest of a customer's key. The zero value stands for no key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String hides the digest, so that it doesn't get into logs.
func (KeyDigest) String() string { return "(digest of a key)" }

// GoString hides the digest as String does.
func (d KeyDigest) GoString() string { return d.String() }

// Customer is a customer whose requests are recognized by a key.
type Customer struct {
	// Name is sent to backend servers. It is not empty.
	Name string
	// Keys holds the digests of the customer's keys. No other customer has one of them.
	Keys []KeyDigest
	// Priority takes the place of the routes' priorities; nil if the customer has none.
	Priority *int
	// RatePerSecond and Burst bound the customer's requests at all instances together. A rate of
	// zero means no limit.
	RatePerSecond float64
	Burst         float64
	// Regions lists the regions whose servers may execute the customer's requests; empty allows all. The
	// regions of the route bind as well.
	Regions []string `cbor:",omitempty" json:",omitempty"`
}

// Valid reports whether the customer has a name, and finite rates of zero or more.
func (c *Customer) Valid() bool {
	return c.Name != "" && isRate(c.RatePerSecond) && isRate(c.Burst)
}

func isRate(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
