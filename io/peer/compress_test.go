package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/guard"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// routingUpdate returns an update with the routes of a deployment of 54 groups.
func routingUpdate() *event.DirectoryUpdate {
	table := &model.RoutingTable{Version: 7}
	var groups []string
	for i := range 54 {
		group := fmt.Sprintf("%c%c%d", 'a'+i*7%26, 'a'+i*11%26, i)
		groups = append(groups, group)
		table.Pools = append(table.Pools, model.Pool{Group: group, Connections: 122, WarmUp: 3 * time.Second})
	}
	for i := range 55 {
		table.Routes = append(table.Routes, model.Route{
			Name: fmt.Sprintf("r-%x", 7919*i), Host: fmt.Sprintf("host%d.example", i%9), Prefix: fmt.Sprintf("/p%d/q%d/", i%5, i),
			Idempotent: true, Timeout: time.Second, Target: 200 * time.Millisecond, Attempts: 3, Gather: groups, MergeTop: 50, LeastCoverage: 0.95,
		})
	}
	return &event.DirectoryUpdate{Revision: 9, Changes: []event.DirectoryChange{{Key: "op/config", Routing: table}}}
}

// TestRoutingTableLeavesLinkToRequests guards against updates that hold up all other bytes of a machine: one
// to 20 peers took 0.6 s of a link of 14 Mbit/s. It may take half of a target of 200 ms.
func TestRoutingTableLeavesLinkToRequests(t *testing.T) {
	const peers, bytesPerSecond, limit = 20, 14e6 / 8, 100 * time.Millisecond
	var e updateEncoder
	update := routingUpdate()
	sent := 0
	for range peers {
		data, err := e.encode(update, true)
		if err != nil {
			t.Fatal(err)
		}
		sent += len(data)
	}
	if got := time.Duration(float64(sent) / bytesPerSecond * float64(time.Second)); got > limit {
		t.Errorf("%d bytes to %d peers: got %v, want at most %v", sent, peers, got, limit)
	}
}

// serve accepts one link and returns what its receiver returns for each message.
func serve(t *testing.T) (in <-chan result, out *websocket.Conn) {
	t.Helper()
	results := make(chan result, 8)
	memory := guard.New(wallClock{}, guard.Limits{Budget: 32 << 20})
	long := newLongMessages(memory)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.CloseNow() }()
		receiver := &receiver{conn: conn, limit: maxMessageBytes, memory: memory.Reserve(func() {}), long: long}
		defer receiver.release()
		for {
			m, _, err := receiver.receive(r.Context())
			results <- result{m, err}
			if err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	conn, reply, err := websocket.Dial(context.Background(), "ws"+strings.TrimPrefix(server.URL, "http"), nil)
	if err != nil {
		t.Fatal(err)
	}
	if reply.Body != nil {
		_ = reply.Body.Close()
	}
	t.Cleanup(func() { _ = conn.CloseNow() })
	return results, conn
}

type result struct {
	message event.Message
	err     error
}

func TestUpdateArrivesAsSent(t *testing.T) {
	in, out := serve(t)
	var e updateEncoder
	update := routingUpdate()
	small := &event.DirectoryUpdate{Revision: 10}
	for _, tc := range []struct {
		name       string
		update     *event.DirectoryUpdate
		inflates   bool
		compressed bool
	}{
		{"to a peer that inflates", update, true, true},
		{"to one that doesn't", update, false, false},
		{"small", small, true, false},
		{"again", update, true, true},
	} {
		data, err := e.encode(tc.update, tc.inflates)
		if err != nil {
			t.Fatal(err)
		}
		var m event.Message
		if err := cbor.Unmarshal(data, &m); err != nil {
			t.Fatal(err)
		}
		if got := m.Deflated != nil; got != tc.compressed {
			t.Errorf("%s: compressed: got %t, want %t", tc.name, got, tc.compressed)
		}
		if err := out.Write(context.Background(), websocket.MessageBinary, data); err != nil {
			t.Fatal(err)
		}
		got := <-in
		if got.err != nil || !reflect.DeepEqual(got.message.Directory, tc.update) {
			t.Errorf("%s: got %+v, error %v, want the update", tc.name, got.message.Directory, got.err)
		}
	}
}

// Compressed messages may stand for far more bytes than they have.
func TestCompressedMessagesAreBounded(t *testing.T) {
	compress := func(message []byte) []byte {
		var out bytes.Buffer
		w, err := flate.NewWriter(&out, flate.BestCompression)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = w.Write(message)
		_ = w.Close()
		data, err := cbor.Marshal(event.Message{Deflated: out.Bytes()})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	plain, err := cbor.Marshal(event.Message{Directory: &event.DirectoryUpdate{Revision: 1}})
	if err != nil {
		t.Fatal(err)
	}
	for name, message := range map[string][]byte{
		"too large":           compress(make([]byte, 16*maxMessageBytes)),
		"costly when decoded": compress(append([]byte{0xa1, 0x04, 0xa1, 0x01, 0x9a, 0, 0xf, 0xff, 0xff}, bytes.Repeat([]byte{0xa0}, 0xfffff)...)),
		"twice":               compress(compress(plain)),
		"not DEFLATE":         {0xa1, 0x18, 25, 0x43, 0xff, 0xff, 0xff},
		"cut off":             {0xa1, 0x18, 25, 0x41, 0x62},
		"empty":               {0xa1, 0x18, 25, 0x40},
	} {
		t.Run(name, func(t *testing.T) {
			in, out := serve(t)
			if err := out.Write(context.Background(), websocket.MessageBinary, message); err != nil {
				t.Fatal(err)
			}
			if got := <-in; got.err == nil {
				t.Errorf("got %+v, want an error", got.message)
			}
		})
	}
}
