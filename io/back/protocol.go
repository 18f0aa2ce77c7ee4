package back

import (
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// Paths that a backend server serves.
const (
	// PathRun runs one attempt, by POST.
	PathRun = "/run"
	// PathStatus returns the server's Status, by GET.
	PathStatus = "/status"
)

// Headers of the protocol; docs/backend-servers.md describes them.
const (
	// HeaderAttempt is the attempt's ID, or that of a read of the status. The reply repeats it.
	HeaderAttempt = "Hyssoppitch-Attempt"
	// HeaderService and HeaderGroup name the service and the group that the attempt
	// queries. The reply repeats the group.
	HeaderService = "Hyssoppitch-Service"
	HeaderGroup   = "Hyssoppitch-Group"
	// HeaderSnapshot and HeaderEpoch identify the version of the index and of the shard
	// map. The reply repeats both.
	HeaderSnapshot = "Hyssoppitch-Snapshot"
	HeaderEpoch    = "Hyssoppitch-Map-Epoch"
	// HeaderTimeout is the time left until the deadline, in milliseconds.
	HeaderTimeout = "Hyssoppitch-Timeout-Ms"
	// HeaderKey is the routing key.
	HeaderKey = "Hyssoppitch-Key"
	// HeaderOnce is the key that identifies a non-idempotent request. It is not called
	// Idempotency-Key, because net/http sends a request with that header a second time
	// when a reused connection breaks.
	HeaderOnce = "Hyssoppitch-Once"
	// HeaderDataCentre is the data centre of the sending instance.
	HeaderDataCentre = "Hyssoppitch-Data-Centre"
	// HeaderBoot, HeaderDraining and HeaderSnapshots report the server's state: the ID of
	// its current boot, whether it is draining, and the snapshots that it can serve.
	HeaderBoot      = "Hyssoppitch-Boot"
	HeaderDraining  = "Hyssoppitch-Draining"
	HeaderSnapshots = "Hyssoppitch-Snapshots"
	// HeaderServerEpoch is the epoch of the shard map that the server currently serves.
	HeaderServerEpoch = "Hyssoppitch-Server-Epoch"
	// HeaderNotRun is the reason why the server did not run an attempt.
	HeaderNotRun = "Hyssoppitch-Not-Run"
	// HeaderDigest is the digest of the body, as RFC 9530 defines it.
	HeaderDigest = "Content-Digest"
)

// Status is the body that a server's status endpoint returns.
type Status struct {
	Boot      string           `json:"boot"`
	Draining  bool             `json:"draining"`
	Snapshots []model.Snapshot `json:"snapshots"`
	Epoch     model.MapEpoch   `json:"map-epoch"`
}

// DigestOf returns the value of HeaderDigest for a body in pieces.
func DigestOf(pieces ...[]byte) string {
	hash := sha256.New()
	for _, p := range pieces {
		_, _ = hash.Write(p)
	}
	return "sha-256=:" + base64.StdEncoding.EncodeToString(hash.Sum(nil)) + ":"
}

// FormatSnapshots returns the value of HeaderSnapshots.
func FormatSnapshots(vs []model.Snapshot) string {
	parts := make([]string, len(vs))
	for i, v := range vs {
		parts[i] = strconv.FormatUint(uint64(v), 10)
	}
	return strings.Join(parts, ",")
}

// parseReport returns the server's report from the headers of a reply. Values that are
// missing or not numbers are left out.
func parseReport(h http.Header) event.ServerReport {
	r := event.ServerReport{Boot: h.Get(HeaderBoot), Draining: h.Get(HeaderDraining) == "true"}
	if text := h.Get(HeaderSnapshots); text != "" {
		r.Snapshots = parseSnapshots(text)
	}
	epoch, _ := strconv.ParseUint(h.Get(HeaderServerEpoch), 10, 64)
	r.Epoch = model.MapEpoch(epoch)
	return r
}

func parseSnapshots(text string) (out []model.Snapshot) {
	for part := range strings.SplitSeq(text, ",") {
		if v, err := strconv.ParseUint(strings.TrimSpace(part), 10, 64); err == nil {
			out = append(out, model.Snapshot(v))
		}
	}
	return out
}

// checkReply returns an error if a reply belongs to another attempt or group, or if its
// body doesn't match its digest.
func checkReply(c event.SendAttempt, h http.Header, body []byte) error {
	if got, want := h.Get(HeaderAttempt), c.Attempt.String(); got != want {
		return errors.Newf("attempt: got %q, want %q", got, want)
	}
	if got := h.Get(HeaderGroup); got != c.Group {
		return errors.Newf("group: got %q, want %q", got, c.Group)
	}
	if got := h.Get(HeaderDigest); got != "" && got != DigestOf(body) {
		return errors.Newf("digest: got %q, want %q", got, DigestOf(body))
	}
	return nil
}
