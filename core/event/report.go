package event

// HealthReports tells of backend servers that are slow or failing, and of those that have recovered.
type HealthReports struct {
	Entries []HealthReport `cbor:"1,keyasint"`
}

// ReportKind is what a report says of a server.
type ReportKind int

// The kinds of reports.
const (
	// ReportSlow means that the server answers late or not at all.
	ReportSlow ReportKind = iota + 1
	// ReportFailing means that a request to the server failed.
	ReportFailing
	// ReportHealthy ends the reports of slowness that are older.
	ReportHealthy
)

// String returns the name used in logs.
func (k ReportKind) String() string {
	switch k {
	case ReportSlow:
		return "slow"
	case ReportFailing:
		return "failing"
	case ReportHealthy:
		return "healthy"
	default:
		return "unknown"
	}
}

// HealthReport is what one instance has found out about one incarnation of a server.
type HealthReport struct {
	_ struct{} `cbor:",toarray"`
	// Server is a hash of the server's ID and incarnation, and Reporter one of the instance's ID.
	Server   uint64
	Reporter uint32
	Kind     ReportKind
	// Multiple is the server's latency as a multiple of that of a healthy server. It is at least one
	// for ReportSlow and zero otherwise.
	Multiple int
	// AgeMillis is how many milliseconds ago the exchange ended that showed it.
	AgeMillis int64
}
