// Package claim records non-idempotent requests in the platform's store. Before such
// a request is sent to a backend server, its idempotency key is claimed by
// compare-and-swap. Within Retention, a claimed key can't be claimed again unless the
// claim was released because the request did not run. So the request runs at most
// once, through whichever instance it is sent again, and even if the claiming instance
// has crashed.
//
// The claims are divided into partitions. Each partition is one value of the store, so
// that many claims share a write. Any instance writes any partition, and
// compare-and-swap orders the writes. A claim stays when its claimant crashes, and no
// other instance takes it over: the outcome of its request then remains unknown.
//
// Package query sends the requests and answers the callers; package io/store makes the
// store calls.
package claim

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

const (
	// Partitions is the number of partitions. It must be the same in all instances.
	Partitions = 1024
	// Retention is how long a claim is stored. A request that is sent again later
	// than this is not recognised, unless its key contains its time.
	Retention = 24 * time.Hour
	// maxValueBytes is the maximum size of a value that is written; the store accepts
	// 1 MB.
	maxValueBytes = 900_000
	// maxResultBytes is the maximum size of a result that is stored to answer a
	// request that is sent again.
	maxResultBytes = 256
	// maxBatchDelay is the maximum time that an outcome waits for a claim with which
	// it can share a write.
	maxBatchDelay = 100 * time.Millisecond
	// retryDelay is the delay after a store call that was not answered.
	retryDelay = 50 * time.Millisecond
	// maxReadAge is the maximum age of a read from which another query's claim
	// without an outcome is reported.
	maxReadAge = 20 * time.Millisecond
)

// Digest identifies a service and idempotency key.
type Digest [16]byte

// DigestOf returns the digest of a service's idempotency key.
func DigestOf(service, key string) Digest {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return Digest(sum[:16])
}

// Partition returns the store key of the value that holds a digest's claim.
func (d Digest) Partition() string {
	return fmt.Sprintf("claims/%04d", xxhash.Sum64(d[:])%Partitions)
}

// State is the state of a claimed request.
type State int

// The states of a claim.
const (
	// Claimed: the claimant may be running the request.
	Claimed State = iota + 1
	// Ran: the request ran once.
	Ran
	// Released: the request did not run and will not run; the key may be claimed
	// again.
	Released
	// Unknown: the request may have run.
	Unknown
)

// Entry is one claim as stored.
type Entry struct {
	Digest Digest `cbor:"1,keyasint"`
	// RequestFingerprint identifies the request; one that is sent again must have the
	// same fingerprint.
	RequestFingerprint model.Fingerprint `cbor:"2,keyasint"`
	// Instance, Incarnation and Query identify the query that made the claim. Together
	// they are unique to the claim.
	Instance    model.InstanceID  `cbor:"3,keyasint"`
	Incarnation model.Incarnation `cbor:"4,keyasint"`
	Query       event.QueryID     `cbor:"5,keyasint"`
	// ClaimedAt is the time of the claim in Unix seconds, by the claimant's clock.
	ClaimedAt int64 `cbor:"6,keyasint"`
	State     State `cbor:"7,keyasint"`
	// Answer is set once the request ran, if its result is at most maxResultBytes long.
	Answer *Answer `cbor:"8,keyasint,omitempty"`
}

// Answer is the stored answer of a request that ran, for when it is sent again. The
// shard map and the snapshot are those of the run and may have been replaced since.
type Answer struct {
	Group    string         `cbor:"1,keyasint"`
	Keys     model.Range    `cbor:"2,keyasint"`
	Epoch    model.MapEpoch `cbor:"3,keyasint"`
	Snapshot model.Snapshot `cbor:"4,keyasint"`
	Result   []byte         `cbor:"5,keyasint"`
}

// sameClaim reports whether two entries are the same claim, in any state.
func (e Entry) sameClaim(o Entry) bool {
	return e.Digest == o.Digest && e.Instance == o.Instance && e.Incarnation == o.Incarnation && e.Query == o.Query
}

// encode returns the stored form of a partition.
func encode(entries []Entry) (data []byte, err error) {
	data, err = cbor.Marshal(entries)
	return data, errors.Wrap(err, "encode claims")
}

// decode parses the stored form of a partition; an empty value holds no claims.
func decode(data []byte) (entries []Entry, err error) {
	defer func() { err = errors.Wrap(err, "decode claims") }()
	if len(data) == 0 {
		return nil, nil
	}
	return entries, cbor.Unmarshal(data, &entries)
}
