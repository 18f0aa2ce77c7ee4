package crowd

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hyssoppitch/core/conf"
	"hyssoppitch/decl"
	"hyssoppitch/io/store"
)

// faultyStore passes calls on to a store until it becomes faulty.
type faultyStore struct {
	inner string
	// write writes a faulty reply to the call with the given number.
	write  func(c net.Conn, path string, number uint64) error
	faulty atomic.Bool
	calls  atomic.Uint64
}

// serve serves a connection.
func (f *faultyStore) serve(c net.Conn) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	serveRequests(c, func(r *http.Request, body []byte) error {
		if !f.faulty.Load() {
			return f.forward(c, client, r, body)
		}
		number := f.calls.Add(1)
		if strings.HasSuffix(r.URL.Path, "/kv-watch") && number%2 == 0 {
			// The instance reads all entries again.
			_, err := io.WriteString(c, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
			return err
		}
		return f.write(c, r.URL.Path, number)
	})
}

// forward passes a call on to the store.
func (f *faultyStore) forward(c net.Conn, client *http.Client, r *http.Request, body []byte) error {
	call, err := http.NewRequest(r.Method, "http://"+f.inner+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	call.Header = r.Header
	reply, err := client.Do(call)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	return reply.Write(c)
}

// check checks what an instance uses while its store is faulty.
func (f *faultyStore) check(t *testing.T, routed bool) {
	t.Helper()
	in := startInstanceAt(t, startFaultyServer(t, f.serve), routed)
	f.faulty.Store(true)
	time.Sleep(faultyTime)
	f.faulty.Store(false)
	if f.calls.Load() == 0 {
		t.Error("the instance didn't call the faulty store")
	}
	in.check(t, 0)
}

// writeText sends a reply with a body.
func writeText(c net.Conn, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

// writeRevision sends a value of the store of declared services.
func writeRevision(c net.Conn, revision uint64, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", store.HeaderRevision, revision, len(body), body)
	return err
}

// rootOf returns a root of a configuration with parts.
func rootOf(number uint64, digests []string) string {
	list, _ := json.Marshal(digests)
	return fmt.Sprintf(`{"version":%d,"change":"c","data-centres":[{"name":"bay","region":"west","state":"in"}],"services":[{"name":"shards","parts":%s}]}`, 10+number, list)
}

// fieldOf returns the field of a reply of the platform's store that has the entries.
func fieldOf(path string) string {
	if strings.HasSuffix(path, "/kv-watch") {
		return "events"
	}
	return "items"
}

// configEntry returns a reply with a configuration.
func configEntry(path, document string) string {
	value := base64.StdEncoding.EncodeToString([]byte(document))
	return fmt.Sprintf(`{%q:[{"key":"op/config","value":%q,"revision":9}],"has-more":false,"at-rev":1}`, fieldOf(path), value)
}

// pageOfServers returns a reply with 8000 entries that come after those of earlier calls, and more to come.
func pageOfServers(path string, number uint64) string {
	value := base64.StdEncoding.EncodeToString([]byte(`{"service":"g","addr":"127.0.0.1:9","slots":1,"state":"ready","zone":"bay","born":1}`))
	var out strings.Builder
	fmt.Fprintf(&out, `{"has-more":true,"at-rev":1,%q:[`, fieldOf(path))
	for i := range 8000 {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"key":"servers/%012d-%05d","value":%q,"revision":9}`, number, i, value)
	}
	out.WriteString("]}")
	return out.String()
}

// faultyStoreReplies are replies of a store that are too large in one way or another.
func faultyStoreReplies() map[string]func(c net.Conn, path string, number uint64) error {
	replies := map[string]func(c net.Conn, path string, number uint64) error{
		"many empty entries": func(c net.Conn, path string, _ uint64) error {
			return writeText(c, fmt.Sprintf(`{%q:[{}%s],"at-rev":1}`, fieldOf(path), strings.Repeat(",{}", 1_390_000)))
		},
		"pages without end": func(c net.Conn, path string, number uint64) error {
			return writeText(c, pageOfServers(path, number))
		},
		"configuration of many routes": func(c net.Conn, path string, _ uint64) error {
			return writeText(c, configEntry(path, `{"version":9,"routes":[{}`+strings.Repeat(",{}", 900_000)+`]}`))
		},
		"configuration of many names": func(c net.Conn, path string, _ uint64) error {
			return writeText(c, configEntry(path, `{"version":9,"routes":[{"fanout":[""`+strings.Repeat(`,""`, 900_000)+`]}]}`))
		},
		"status of many versions": func(c net.Conn, path string, _ uint64) error {
			value := base64.StdEncoding.EncodeToString([]byte(`{"rejected-versions":[""` + strings.Repeat(`,""`, 900_000) + `]}`))
			return writeText(c, fmt.Sprintf(`{%q:[{"key":"status/rollout/group","value":%q,"revision":9}],"at-rev":1}`, fieldOf(path), value))
		},
		"ignored field of many values": func(c net.Conn, _ string, _ uint64) error {
			return writeText(c, `{"other":[0`+strings.Repeat(",0", 2_000_000)+`]}`)
		},
	}
	for _, reply := range faultyReplies {
		replies[reply.name] = func(c net.Conn, _ string, _ uint64) error {
			return reply.write(c, strings.Replace(reply.head, "Hyssoppitch-Request-Id: %[1]s", "Store-Revision: 9", 1))
		}
	}
	return replies
}

// TestFaultyStoreStaysWithinTheMachine guards against a store of the platform that exhausts the memory of an
// instance.
func TestFaultyStoreStaysWithinTheMachine(t *testing.T) {
	for name, write := range faultyStoreReplies() {
		t.Run(name, func(t *testing.T) {
			runParallel(t)
			f := &faultyStore{inner: startStore(t), write: write}
			f.check(t, true)
		})
	}
}

// TestFaultyStoreOfDeclaredServicesStaysWithinTheMachine does the same for the store of declared services.
func TestFaultyStoreOfDeclaredServicesStaysWithinTheMachine(t *testing.T) {
	replies := faultyStoreReplies()
	replies["many listed instances"] = func(c net.Conn, path string, _ uint64) error {
		if path != store.PathProcesses {
			return writeText(c, "{}")
		}
		return writeText(c, `{"instances":[{}`+strings.Repeat(",{}", 690_000)+`],"servers":[]}`)
	}
	replies["root of many services"] = func(c net.Conn, _ string, number uint64) error {
		return writeRevision(c, 10+number, fmt.Sprintf(`{"version":%d,"change":"c","data-centres":[{}],"services":[{}%s]}`, 10+number, strings.Repeat(",{}", 600_000)))
	}
	parts, digests := map[string]string{}, []string{}
	for i := range 60 {
		data := fmt.Sprintf(`{"name":"s%d","groups":[%s]}`, i, strings.Repeat(" ", 2_000_000))
		digest := fmt.Sprintf("%x", sha256.Sum256([]byte(data)))
		parts[digest], digests = data, append(digests, digest)
	}
	digests = append(digests, strings.Repeat("0", 64))
	replies["root of long parts"] = func(c net.Conn, path string, number uint64) error {
		if _, digest, ok := strings.Cut(path, conf.PartPrefix); ok {
			return writeRevision(c, 9, parts[digest])
		}
		return writeRevision(c, 10+number, rootOf(number, digests))
	}
	replies["root of many parts"] = func(c net.Conn, path string, number uint64) error {
		if strings.Contains(path, conf.PartPrefix) {
			time.Sleep(time.Second)
			return writeText(c, "{}")
		}
		many := make([]string, 25_000)
		for i := range many {
			many[i] = fmt.Sprintf("%064x", i)
		}
		return writeRevision(c, 10+number, rootOf(number, many))
	}
	for name, write := range replies {
		t.Run(name, func(t *testing.T) {
			runParallel(t)
			f := &faultyStore{inner: startStoreOfService(t, [][]decl.Server{{{ID: "s0", Address: "127.0.0.1:9", DataCentre: "bay"}}}).Address(), write: write}
			f.check(t, false)
		})
	}
}
