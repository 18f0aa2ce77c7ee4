// Package claim owns the record of non-idempotent requests in the platform's
// store: before such a request is sent to a backend server its key is claimed by
// compare-and-swap, and a key that is claimed is never claimed again. So the
// request runs at most once, through whichever instance it is sent again, and
// whether or not the claimant still lives.
//
// The record is divided into partitions, one value each, so that many claims go
// into one write. Any instance writes any partition; compare-and-swap orders
// them. A claim outlives its claimant and is not taken over: what became of it is
// then unknown, and stays so.
//
// Sending the request, and what to tell the caller, are left to package query;
// the store calls themselves to io/store.
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
	// Partitions is the number of values that the record is divided into. All
	// instances must agree on it.
	Partitions = 1024
	// Retention is how long a claim is kept. A request sent again later than
	// this is not recognised, unless its key carries its time.
	Retention = 24 * time.Hour
	// maxValue is the largest value that is written, in bytes; the store takes
	// 1 MB.
	maxValue = 900_000
	// maxResult is the largest result that is kept for a resend, in bytes.
	maxResult = 256
	// batchWait is how long an outcome waits for a claim to share its write.
	batchWait = 100 * time.Millisecond
	// retryWait is the wait after a store call that was not answered.
	retryWait = 50 * time.Millisecond
	// freshFor is how old a read may be for an undecided claim of another
	// instance to be reported from it.
	freshFor = 20 * time.Millisecond
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

// State says what is known of a claimed request.
type State int

// The states of a claim.
const (
	// Claimed: the claimant may be running it.
	Claimed State = iota + 1
	// Ran: it ran, once.
	Ran
	// Released: it did not run and will not; the key may be claimed again.
	Released
	// Unknown: it may have run.
	Unknown
)

// Entry is one claim as it stands in the store.
type Entry struct {
	Digest Digest `cbor:"1,keyasint"`
	// Body is the fingerprint of the request; a resend must have the same.
	RequestFingerprint model.Fingerprint `cbor:"2,keyasint"`
	// Instance, Incarnation and Query name the claimant's one query. Together
	// they are unique to the claim.
	Instance    model.InstanceID  `cbor:"3,keyasint"`
	Incarnation model.Incarnation `cbor:"4,keyasint"`
	Query       event.QueryID     `cbor:"5,keyasint"`
	// ClaimedAt is in Unix seconds by the claimant's clock.
	ClaimedAt int64 `cbor:"6,keyasint"`
	State     State `cbor:"7,keyasint"`
	// Answer is set once the request ran, if its result is short.
	Answer *Answer `cbor:"8,keyasint,omitempty"`
}

// Answer is what a resend of a request that ran is told. The shard map and the
// snapshot are those of the run, which may have been replaced since.
type Answer struct {
	Group    string         `cbor:"1,keyasint"`
	Keys     model.Range    `cbor:"2,keyasint"`
	Epoch    model.MapEpoch `cbor:"3,keyasint"`
	Snapshot model.Snapshot `cbor:"4,keyasint"`
	Result   []byte         `cbor:"5,keyasint"`
}

// same reports whether two entries are the same claim, in whatever state.
func (e Entry) same(o Entry) bool {
	return e.Digest == o.Digest && e.Instance == o.Instance && e.Incarnation == o.Incarnation && e.Query == o.Query
}

// encode returns the store's form of a partition.
func encode(entries []Entry) (data []byte, err error) {
	data, err = cbor.Marshal(entries)
	return data, errors.Wrap(err, "encode claims")
}

// decode reads the store's form of a partition; no value is no claims.
func decode(data []byte) (entries []Entry, err error) {
	defer func() { err = errors.Wrap(err, "decode claims") }()
	if len(data) == 0 {
		return nil, nil
	}
	return entries, cbor.Unmarshal(data, &entries)
}
