package setup_test

import (
	"os"
	"strings"
	"testing"

	"hyssoppitch/io/setup"
)

const validSettings = `{
  "instance": "i0", "data-centre": "bay",
  "listen": "127.0.0.1:8080", "control": "127.0.0.1:9080", "store": "127.0.0.1:7000",
  "limits": {"policy": "share", "connections": 4}, "hedging": false, "shutdown": {"lag": "1s"}
}`

func TestParseNamesFieldAndValue(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"unknown field", `"hedging"`, `"hedge"`, []string{`"hedge"`, "unknown"}},
		{"wrong type", `false`, `"no"`, []string{"hedging", "string", "bool"}},
		{"wrong unit", `"1s"`, `"1 second"`, []string{"1 second", "unit"}},
		{"out of range", `"1s"`, `"10m"`, []string{"shutdown.lag", "10m0s", "5m0s"}},
		{"empty instance", `"i0"`, `""`, []string{"instance", `""`}},
		{"host name instead of an IP address", `"127.0.0.1:8080"`, `"localhost:8080"`, []string{"listen", "localhost:8080", "IP number"}},
		{"same address twice", `"127.0.0.1:9080"`, `"127.0.0.1:8080"`, []string{"control", "other than listen"}},
		{"unknown policy", `"share"`, `"greedy"`, []string{"limits.policy", "greedy", "adaptive"}},
		{"too few connections", `"connections": 4`, `"connections": 1`, []string{"limits.connections", "1", "2 to 1000"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := setup.Parse([]byte(strings.Replace(validSettings, test.old, test.new, 1)))
			if err == nil {
				t.Fatal("got no error")
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got %q, want it to contain %q", err, want)
				}
			}
		})
	}
	s, err := setup.Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Shutdown.Drain, setup.Default().Shutdown.Drain; got != want {
		t.Errorf("shutdown.drain, which the file leaves out: got %v, want the default %v", got, want)
	}
}

// TestSettingsPageMatchesStruct checks that docs/settings.md contains the current output of
// Describe.
func TestSettingsPageMatchesStruct(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), setup.Describe()) {
		t.Errorf("docs/settings.md: the table differs from the output of hyssoppitch settings")
	}
}
