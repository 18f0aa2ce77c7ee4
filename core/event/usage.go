package event

// Usage exchanges counters of events, which package usage sums over all instances. Counts are
// cumulative within an epoch of the sender, so that a lost message does no harm.
type Usage struct {
	// Epoch identifies the incarnation of the sender's counters.
	Epoch uint64 `cbor:"1,keyasint"`
	// SentAt is in Unix nanoseconds by the sender's clock, and Echo is the latest SentAt that the
	// sender has received from the receiver. Each side measures the age of the exchange by it with
	// its own clock.
	SentAt int64 `cbor:"2,keyasint"`
	Echo   int64 `cbor:"3,keyasint,omitempty"`
	// Full is set when Entries holds all counters; Reset asks the receiver for all of its own.
	Full  bool `cbor:"4,keyasint,omitempty"`
	Reset bool `cbor:"5,keyasint,omitempty"`
	// Fast is set when Entries holds only counters that are used beyond half of their limit.
	Fast    bool         `cbor:"6,keyasint,omitempty"`
	Entries []UsageEntry `cbor:"7,keyasint,omitempty"`
	// Area is set in the exchange between the collectors of two areas.
	Area bool `cbor:"8,keyasint,omitempty"`
	// Covered is the number of instances whose events the counts hold, by window, in ascending
	// order, and CollectingMillis for how long the sender has been the collector. Both are set by
	// collectors.
	Covered          []UsageCoverage `cbor:"9,keyasint,omitempty"`
	CollectingMillis int64           `cbor:"10,keyasint,omitempty"`
	// Wanted is set while the sender or a member of its area needs the sums.
	Wanted bool `cbor:"11,keyasint,omitempty"`
}

// UsageCoverage is the number of instances whose events in a window are complete.
type UsageCoverage struct {
	_ struct{} `cbor:",toarray"`
	// WindowMillis is the length of the window; zero stands for all windows.
	WindowMillis int64
	Instances    int
}

// UsageEntry is one counter.
type UsageEntry struct {
	_ struct{} `cbor:",toarray"`
	// Key is the kind in the upper byte and a hash of the name.
	Key uint64
	// Count is the number of events that the sender has counted in its epoch.
	Count uint64
	// Recent is how many of them are in the window. It is set until the receiver has confirmed
	// the counter: a receiver that doesn't know the counter yet adds Recent to its sum.
	Recent uint64
	// Total is the number of events since the counters of the covered instances began. It is
	// set only for kinds whose totals are used.
	Total uint64
}
