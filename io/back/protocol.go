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

// Paths of a backend server.
const (
	// PathRun takes one attempt by POST.
	PathRun = "/run"
	// PathStatus gives the server's Status by GET.
	PathStatus = "/status"
)

// Headers of the protocol; docs/backend-servers.md describes them.
const (
	// HeaderAttempt carries the attempt's identity and is repeated in the reply.
	HeaderAttempt = "Hyssoppitch-Attempt"
	// HeaderService and HeaderGroup name what is asked; the group is repeated.
	HeaderService = "Hyssoppitch-Service"
	HeaderGroup   = "Hyssoppitch-Group"
	// HeaderSnapshot and HeaderEpoch name the index version and the shard map.
	HeaderSnapshot = "Hyssoppitch-Snapshot"
	HeaderEpoch    = "Hyssoppitch-Map-Epoch"
	// HeaderTimeout is the time left in milliseconds.
	HeaderTimeout = "Hyssoppitch-Timeout-Ms"
	// HeaderKey is the routing key.
	HeaderKey = "Hyssoppitch-Key"
	// HeaderOnce names a non-idempotent request. It is not called
	// Idempotency-Key: net/http sends a request with a header of that name again
	// by itself when a kept connection dies.
	HeaderOnce = "Hyssoppitch-Once"
	// HeaderDataCentre is the data centre of the sender.
	HeaderDataCentre = "Hyssoppitch-Data-Centre"
	// HeaderBoot, HeaderDraining and HeaderSnapshots are the server's report.
	HeaderBoot      = "Hyssoppitch-Boot"
	HeaderDraining  = "Hyssoppitch-Draining"
	HeaderSnapshots = "Hyssoppitch-Snapshots"
	// HeaderServerEpoch is the shard map that the server serves now.
	HeaderServerEpoch = "Hyssoppitch-Server-Epoch"
	// HeaderNotRun gives the reason for which an attempt was not run.
	HeaderNotRun = "Hyssoppitch-Not-Run"
	// HeaderDigest is the digest of the body, as in RFC 9530.
	HeaderDigest = "Content-Digest"
)

// Status is the body of a server's status endpoint.
type Status struct {
	Boot      string           `json:"boot"`
	Draining  bool             `json:"draining"`
	Snapshots []model.Snapshot `json:"snapshots"`
	Epoch     model.MapEpoch   `json:"map-epoch"`
}

// DigestOf returns the value of HeaderDigest for a body.
func DigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// FormatSnapshots returns the value of HeaderSnapshots.
func FormatSnapshots(vs []model.Snapshot) string {
	parts := make([]string, len(vs))
	for i, v := range vs {
		parts[i] = strconv.FormatUint(uint64(v), 10)
	}
	return strings.Join(parts, ",")
}

// reportOf reads the server's report from the headers of a reply. What is absent
// or not a number counts as not told.
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

// checkReply reports why a reply is not a whole reply to an attempt, or nil.
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
