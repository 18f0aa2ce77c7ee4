package pass

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hyssoppitch/io/guard"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// FuzzUsualReply guards against a reply that parseUsualReply takes for something else than net/http
// does: whatever it accepts, net/http must accept with the same status, headers and body.
func FuzzUsualReply(f *testing.F) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, text := range []string{
		ok + "Content-Length: 3\r\n\r\nyes",
		ok + "Content-Length: 3\r\n\r\nyesHTTP/1.1 200 OK\r\n\r\n",
		ok + "content-length:3\r\nx-stamp:\t st \r\nX-STAMP: b\r\nConnection: Keep-Alive\r\nKeep-Alive: timeout=5\r\n\r\nyes",
		ok + "Content-Length: +3\r\n\r\nyes",
		ok + "Content-Length: 03\r\n\r\nyes",
		ok + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nyes",
		ok + "Content-Length: 99999999999\r\n\r\n",
		ok + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		ok + "Content-Length: 0\r\nFolded: a\r\n b\r\n\r\n",
		ok + "Content-Length: 0\r\nName : a\r\n\r\n",
		ok + "Content-Length: 0\r\n: a\r\n\r\n",
		ok + "Content-Length: 0\r\nbare: a\nb: c\r\n\r\n",
		ok + "Pragma: no-cache\r\nContent-Length: 0\r\n\r\n",
		ok + "Content-Length: 0\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 None\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 2000 Odd\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, headBytes, ok := parseUsualReply(data, http.MethodGet)
		if !ok {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(data))
		want, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			t.Fatalf("got a reply with status %d, want the error %v", got.status, err)
		}
		if got.status != want.StatusCode || got.close != want.Close || int64(len(got.body)) != want.ContentLength || len(want.TransferEncoding) > 0 {
			t.Fatalf("got status %d, close %t, %d bytes; want %d, %t, %d bytes, encoding %q",
				got.status, got.close, len(got.body), want.StatusCode, want.Close, want.ContentLength, want.TransferEncoding)
		}
		fields := http.Header{}
		for _, field := range got.fields {
			fields[field.Name] = append(fields[field.Name], field.Value)
		}
		if len(fields) != len(want.Header) {
			t.Fatalf("got headers %q, want %q", fields, want.Header)
		}
		for name, values := range want.Header {
			if !slices.Equal(fields[name], values) {
				t.Fatalf("header %q: got %q, want %q", name, fields[name], values)
			}
		}
		wantBody, err := io.ReadAll(want.Body)
		n, gotErr := io.ReadFull(bytes.NewReader(data[headBytes:]), got.body)
		if (err == nil) != (gotErr == nil) || !bytes.Equal(got.body[:n], wantBody) {
			t.Fatalf("body: got %q, %v; want %q, %v", got.body[:n], gotErr, wantBody, err)
		}
	})
}

// TestUsualReplyIsRead guards against a parser that leaves everything to net/http, which takes several
// times as long.
func TestUsualReplyIsRead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Stamp: st\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nconnection: keep-alive\r\ncontent-length: 3\r\nretry-after: 1\r\n",
	} {
		reply, headBytes, ok := parseUsualReply([]byte(head+"\r\nyes"), http.MethodPost)
		if !ok || headBytes != len(head)+2 || len(reply.body) != 3 || len(reply.fields) != strings.Count(head, "\n")-1 {
			t.Errorf("%q: got %+v, %d, %t", head, reply, headBytes, ok)
		}
	}
}

// FuzzReplyStatus guards against a status that is none: whatever readReply accepts must begin with, or
// have after interim replies, a status line with three digits from 200 to 599, and never 101.
func FuzzReplyStatus(f *testing.F) {
	for _, status := range []string{"000", "001", "099", "101", "199", "200", "204", "599", "600", "999", "1000", "-01", "+20", "2000", "20"} {
		f.Add([]byte("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n"))
		f.Add([]byte("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n"))
	}
	f.Add([]byte(strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 9) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	memory := guard.New(wallClock{}, guard.Limits{Budget: 32 << 20})
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Write(data)
			_ = server.Close()
		}()
		defer func() { _ = client.Close() }()
		c := &conn{Conn: client}
		c.memory = memory.Reserve(c.abortRead)
		c.reader = bufio.NewReaderSize(c, readBufferSize)
		c.limitReads(maxHeadBytes)
		got, err := readReply(c, http.MethodGet, memory.ReplyBytes())
		if err != nil {
			return
		}
		digits := strconv.Itoa(got.status)
		if got.status < 200 || got.status > 599 || !bytes.Contains(data, []byte(" "+digits)) {
			t.Fatalf("got status %d of %q", got.status, data)
		}
	})
}
