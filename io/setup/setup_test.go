package setup_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"hyssoppitch/core/model"
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

// TestDrainLastsUntilTheEndOfTheGracePeriod guards against a stop that ends long before the grace
// period: the drain takes all but the lag and the time to exit.
func TestDrainLastsUntilTheEndOfTheGracePeriod(t *testing.T) {
	tests := []struct{ grace, lag, drain, wantLag, wantDrain time.Duration }{
		{grace: 6 * time.Second, lag: 3 * time.Second, drain: 3 * time.Second, wantLag: 2700 * time.Millisecond, wantDrain: 2900 * time.Millisecond},
		{grace: 30 * time.Second, lag: 3 * time.Second, drain: 3 * time.Second, wantLag: 3 * time.Second, wantDrain: 26600 * time.Millisecond},
		{grace: time.Second, lag: 2 * time.Second, drain: time.Second, wantLag: 450 * time.Millisecond, wantDrain: 300 * time.Millisecond},
		{lag: 2 * time.Second, drain: 10 * time.Second, wantLag: 2 * time.Second, wantDrain: 10 * time.Second},
	}
	for _, test := range tests {
		s := setup.Shutdown{Grace: model.Duration(test.grace), Lag: model.Duration(test.lag), Drain: model.Duration(test.drain)}
		if lag, drain := s.Durations(); lag != test.wantLag || drain != test.wantDrain {
			t.Errorf("grace %v, lag %v, drain %v: got %v and %v, want %v and %v", test.grace, test.lag, test.drain, lag, drain, test.wantLag, test.wantDrain)
		}
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
