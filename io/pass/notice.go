package pass

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hyssoppitch/core/event"
)

// maxAway limits how long a server may turn this instance away in one reply.
const maxAway = 10 * time.Minute

// notice returns what a reply says about the availability of its server.
func (b *BackendClient) notice(reply *serverReply) (n event.Notice) {
	if value, found := reply.headers(b.names.Leaving); found {
		n.Leaving = value == "1"
		if !n.Leaving {
			n.Problem = fmt.Sprintf("%s: %.40q: want 1", b.names.Leaving, value)
		}
	}
	value, found := reply.headers("Retry-After")
	if reply.status != http.StatusServiceUnavailable || !found {
		return n
	}
	if !decimalNumber.MatchString(value) {
		n.Problem = fmt.Sprintf("Retry-After: %.40q: want seconds as a decimal number of zero or more", value)
		return n
	}
	// A number that is too large for a float is infinite.
	seconds, _ := strconv.ParseFloat(value, 64)
	n.Away = time.Duration(min(seconds, maxAway.Seconds()) * float64(time.Second))
	return n
}
