package conf_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/model"
)

// baseConfigJSON is a small valid configuration, which tests make invalid.
const baseConfigJSON = `{
  "version": 3,
  "data-centres": [
    {"name": "bay", "region": "west", "state": "in"}
  ],
  "services": [
    {
      "name": "desk", "map-epoch": 1, "slots": 2, "connections": 25,
      "classes": [{"name": "search", "deadline": "400ms", "least-coverage": 0.95}],
      "groups": [
        {"name": "g0", "keys": {"from": 0, "to": 65536}, "servers": [{"id": "s0", "address": "10.0.0.1:80", "data-centre": "bay"}]}
      ]
    }
  ]
}`

// TestParseErrorNamesFieldAndValue checks that the error for an invalid document
// names the field or line, the value and what is allowed.
func TestParseErrorNamesFieldAndValue(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"unknown field", `"slots"`, `"slot"`, []string{`"slot"`, "unknown"}},
		{"wrong type", `"slots": 2`, `"slots": "two"`, []string{"line 8", "slots", "string"}},
		{"not JSON", `"slots": 2,`, `"slots": 2,,`, []string{"line 8", "not JSON"}},
		{"duration without unit", `"400ms"`, `"400"`, []string{`"400"`, "unit"}},
		{"duration as number", `"400ms"`, `400`, []string{"deadline", "number"}},
		{"deadline out of range", `"400ms"`, `"2h"`, []string{"services[0].classes[0].deadline", "2h0m0s", "1m0s"}},
		{"coverage out of range", `0.95`, `1.5`, []string{"least-coverage", "1.5", "0 to 1"}},
		{"slots out of range", `"slots": 2`, `"slots": 0`, []string{"services[0].slots", "0", "1 to"}},
		{"gap in the key space", `"to": 65536`, `"to": 65535`, []string{"services[0].groups", "65535", "65536"}},
		{"range beyond the key space", `"to": 65536`, `"to": 70000`, []string{"groups[0].keys", "70000"}},
		{"host name instead of IP number", `10.0.0.1:80`, `example:80`, []string{"address", "example:80", "IP number"}},
		{"unknown data centre", `"data-centre": "bay"`, `"data-centre": "hill"`, []string{"data-centre", "hill"}},
		{"unknown data centre state", `"state": "in"`, `"state": "off"`, []string{"state", "off", `"in" or "out"`}},
		{"name with invalid characters", `"name": "desk"`, `"name": "Desk!"`, []string{"services[0].name", "Desk!"}},
		{"trailing data", `]
}`, `]
} {}`, []string{"more than one"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(baseConfigJSON, test.old, test.new, 1)
			if text == baseConfigJSON {
				t.Fatal("the test case doesn't change the document")
			}
			_, err := conf.Parse([]byte(text))
			if err == nil {
				t.Fatal("got no error")
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q does not contain %q", err, want)
				}
			}
		})
	}
	if _, err := conf.Parse([]byte(baseConfigJSON)); err != nil {
		t.Errorf("unchanged configuration: %v", err)
	}
}

// drawConfig generates a valid configuration.
func drawConfig(r *rapid.T) model.Config {
	c := model.Config{
		Version:     rapid.Uint64Range(0, 1e6).Draw(r, "version"),
		DataCentres: []model.DataCentre{{Name: "bay", Region: "west", State: model.DataCentreIn}},
	}
	port := 1
	for s := range rapid.IntRange(0, 3).Draw(r, "services") {
		svc := model.Service{
			Name: fmt.Sprintf("svc%d", s), Epoch: 1, Slots: 2, Connections: 25,
			Classes: []model.Class{{Name: "search", Deadline: 4e8, LeastCoverage: rapid.Float64Range(0, 1).Draw(r, "coverage")}},
		}
		groups := rapid.IntRange(1, 600).Draw(r, "groups")
		for g := range groups {
			svc.Groups = append(svc.Groups, model.Group{
				Name: fmt.Sprintf("g%d", g), Keys: model.Range{From: uint32(g * model.KeySpace / groups), To: uint32((g + 1) * model.KeySpace / groups)},
				Servers: []model.Server{{ID: model.ServerID(fmt.Sprintf("s%d-%d", s, g)), Address: fmt.Sprintf("10.0.0.1:%d", port), DataCentre: "bay"}},
			})
			port++
		}
		c.Services = append(c.Services, svc)
	}
	return c
}

func TestPrintParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := drawConfig(r)
		first, err := conf.Print(c)
		if err != nil {
			r.Fatal(err)
		}
		parsed, err := conf.Parse(first)
		if err != nil {
			r.Fatal(err)
		}
		second, err := conf.Print(parsed)
		if err != nil {
			r.Fatal(err)
		}
		if string(first) != string(second) {
			r.Fatal("the configuration changed when it was printed, parsed and printed again")
		}
	})
}

func TestSplitJoinRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := drawConfig(r)
		root, parts, err := conf.Split(c)
		if err != nil {
			r.Fatal(err)
		}
		data := map[conf.Digest][]byte{}
		for _, p := range parts {
			data[p.Digest] = p.Data
		}
		joined, err := conf.Join(root, data)
		if err != nil {
			r.Fatal(err)
		}
		got, _ := conf.Print(joined)
		want, _ := conf.Print(c)
		if string(got) != string(want) {
			r.Fatal("the configuration changed when it was split and joined")
		}
		if len(parts) > 0 {
			delete(data, parts[0].Digest)
			if _, err := conf.Join(root, data); err == nil {
				r.Fatal("join without one of the parts: got no error")
			}
		}
	})
}

// TestRootAndPartsFitStoreValueLimit checks that the root and each part stay far below
// 1 MB with 14,000 servers, in many services or in one, and that a change of one server
// changes one part.
func TestRootAndPartsFitStoreValueLimit(t *testing.T) {
	const servers, limit = 14_000, 1 << 20
	for _, groupsPerService := range []int{100, 4666} {
		c := model.Config{DataCentres: []model.DataCentre{{Name: "data-centre-1", Region: "region-1", State: model.DataCentreIn}}}
		for n := 0; n < servers; {
			svc := model.Service{
				Name: fmt.Sprintf("service-number-%d", n), Epoch: 1, Slots: 2, Connections: 25,
				Classes: []model.Class{{Name: "search", Deadline: 4e8, LeastCoverage: 1}},
			}
			for g := range groupsPerService {
				group := model.Group{Name: fmt.Sprintf("group-%05d", g), Keys: model.Range{
					From: uint32(g * model.KeySpace / groupsPerService), To: uint32((g + 1) * model.KeySpace / groupsPerService),
				}}
				for range 3 {
					group.Servers = append(group.Servers, model.Server{
						ID: model.ServerID(fmt.Sprintf("service.group.server-%06d", n)), Address: fmt.Sprintf("10.1.%d.%d:8080", n/256, n%256), DataCentre: "data-centre-1",
					})
					n++
				}
				svc.Groups = append(svc.Groups, group)
			}
			c.Services = append(c.Services, svc)
		}
		root, parts, err := conf.Split(c)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(root)
		if err != nil {
			t.Fatal(err)
		}
		largest := 0
		for _, p := range parts {
			largest = max(largest, len(p.Data))
		}
		if len(data) > limit/10 || largest > limit/2 {
			t.Errorf("%d groups per service: root has %d bytes, largest part %d bytes, want far less than %d", groupsPerService, len(data), largest, limit)
		}
		t.Logf("%d groups per service: root %d bytes, %d parts, largest %d bytes", groupsPerService, len(data), len(parts), largest)
		c.Services[0].Groups[0].Servers[0].Address = "10.2.0.1:8080"
		_, changed, err := conf.Split(c)
		if err != nil {
			t.Fatal(err)
		}
		changedParts := 0
		for i := range parts {
			if parts[i].Digest != changed[i].Digest {
				changedParts++
			}
		}
		if changedParts != 1 {
			t.Errorf("a change of one server changed %d parts, want 1", changedParts)
		}
	}
}

func TestDiffShowsOnlyChangedLines(t *testing.T) {
	a, err := conf.Parse([]byte(baseConfigJSON))
	if err != nil {
		t.Fatal(err)
	}
	b, err := conf.Parse([]byte(strings.Replace(baseConfigJSON, `"state": "in"`, `"state": "out"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	got, err := conf.Diff(a, b)
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/diff.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	if same, err := conf.Diff(a, a); err != nil || same != "" {
		t.Errorf("diff of equal configurations: got %q and error %v, want neither", same, err)
	}
}

// FuzzParse checks that every configuration that parses can be printed and parsed
// again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(baseConfigJSON))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := conf.Parse(data)
		if err != nil {
			return
		}
		printed, err := conf.Print(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conf.Parse(printed); err != nil {
			t.Fatalf("printed configuration: %v", err)
		}
	})
}
