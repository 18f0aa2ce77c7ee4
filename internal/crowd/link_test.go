package crowd

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/peer"
)

// faultyPeers is the number of peers that open a link.
const faultyPeers = 40

// updatesOf returns a message with 131,000 updates of members, each of them the same byte.
func updatesOf(element byte) []byte {
	const n = 131_000
	head := []byte{0xa1, 0x04, 0xa1, 0x01, 0x9a, 0, n >> 16, n >> 8 & 0xff, n & 0xff}
	return append(head, bytes.Repeat([]byte{element}, n)...)
}

// faultyMessages are what peers send again and again.
func faultyMessages() map[string][]byte {
	part, _ := cbor.Marshal(event.Message{Part: &event.PartReceived{Data: bytes.Repeat([]byte("x"), 1_900_000)}})
	return map[string][]byte{
		"messages of many empty structures": updatesOf(0xa0),
		"messages of many nulls":            updatesOf(0xf6),
		"long messages":                     part,
		"messages over the limit":           bytes.Repeat([]byte{0xa0}, 8<<20),
	}
}

// sendMessages opens a link and sends a message again and again, and opens it again when it is closed.
func (in *instance) sendMessages(ctx context.Context, number int, message []byte) {
	hello, err := cbor.Marshal(event.Message{Hello: &event.Hello{Self: model.Instance{
		ID: model.InstanceID(fmt.Sprintf("faulty%d", number)), Incarnation: 1, Address: "127.0.0.1:1", DataCentre: "bay",
	}}})
	for err == nil && ctx.Err() == nil {
		conn, reply, dialErr := websocket.Dial(ctx, "ws://"+in.control+peer.Path, nil)
		if dialErr != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if reply.Body != nil {
			_ = reply.Body.Close()
		}
		conn.SetReadLimit(-1)
		go func() {
			for _, _, err := conn.Read(ctx); err == nil; _, _, err = conn.Read(ctx) {
			}
		}()
		writeErr := conn.Write(ctx, websocket.MessageBinary, hello)
		for writeErr == nil {
			writeErr = conn.Write(ctx, websocket.MessageBinary, message)
		}
		_ = conn.CloseNow()
	}
}

// TestFaultyPeersStayWithinTheMachine guards against peers that exhaust the memory of an instance with
// messages.
func TestFaultyPeersStayWithinTheMachine(t *testing.T) {
	for name, message := range faultyMessages() {
		t.Run(name, func(t *testing.T) {
			runParallel(t)
			in := startInstance(t, true)
			ctx, cancel := context.WithTimeout(context.Background(), faultyTime)
			defer cancel()
			var group sync.WaitGroup
			for i := range faultyPeers {
				group.Go(func() { in.sendMessages(ctx, i, message) })
			}
			group.Wait()
			in.check(t, 0)
		})
	}
}

// TestFaultyHandshakesStayWithinTheMachine does the same for replies to the requests for a link.
func TestFaultyHandshakesStayWithinTheMachine(t *testing.T) {
	upgrade := "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
	for _, reply := range faultyReplies {
		t.Run(reply.name, func(t *testing.T) {
			runParallel(t)
			if rest, ok := strings.CutPrefix(reply.head, okHead); ok {
				reply.head = upgrade + rest
			}
			var seeds []string
			for range faultyServers {
				seeds = append(seeds, startFaultyServer(t, reply.serve))
			}
			in := startInstanceAt(t, startStore(t), true, seeds...)
			time.Sleep(faultyTime)
			in.check(t, 0)
		})
	}
}
