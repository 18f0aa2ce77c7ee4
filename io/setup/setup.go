// Package setup holds the settings of an instance. It decodes them strictly, checks them,
// and generates their reference table from the struct tags. The packages that get the
// settings implement their effect.
package setup

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
)

// Settings are the settings of an instance, as the settings file holds them.
type Settings struct {
	Instance   model.InstanceID `json:"instance" help:"name of this instance, unique over the deployment" want:"1 to 64 of a-z, 0-9, '-' and '.'"`
	DataCentre string           `json:"data-centre" help:"data centre that this instance runs in" want:"1 to 64 of a-z, 0-9, '-' and '.'"`
	Listen     string           `json:"listen" help:"where callers connect" want:"an IP number and port"`
	Control    string           `json:"control" help:"where peers and operators connect" want:"an IP number and port, other than listen"`
	Store      string           `json:"store" help:"the platform's key-value service" want:"an IP number and port"`
	Metrics    string           `json:"metrics,omitempty" help:"where counters and histograms are read, besides control" want:"an IP number and port; empty: control only"`
	Seeds      []string         `json:"seeds,omitempty" help:"control addresses of other instances, for a start while the store is down" want:"IP numbers and ports"`
	Limits     Limits           `json:"limits" help:"how much work goes to a backend server"`
	Hedging    bool             `json:"hedging" help:"send a second attempt of a slow leg to another replica" want:"true or false"`
	Shutdown   Shutdown         `json:"shutdown" help:"how an instance leaves"`
	Routed     Routed           `json:"routed" help:"routed requests"`
	Machine    Machine          `json:"machine" help:"what the machine gives this process"`
	Callers    Callers          `json:"callers" help:"limits on connections and requests"`
}

// Routed are the settings of routed requests. An instance with routed requests relays
// requests to the servers in a directory, instead of serving the services of a declared
// configuration.
type Routed struct {
	Enabled bool `json:"enabled" help:"serve routed requests from the directory in the store, in place of declared services" want:"true or false"`
	// Ready is empty when the callers' listener also serves readiness.
	Ready       string            `json:"ready,omitempty" help:"where the balancer asks for readiness" want:"an IP number and port; empty: listen"`
	Regions     map[string]string `json:"regions,omitempty" help:"the region of each data centre" want:"names of data centres and regions"`
	RetryRatio  float64           `json:"retry-ratio" help:"attempts beyond the first, per request of a group, summed over all instances" want:"0 to 1"`
	RetrySlack  float64           `json:"retry-slack" help:"attempts beyond the first that are allowed besides, in each retry window" want:"0 or more"`
	RetryWindow model.Duration    `json:"retry-window" help:"time over which attempts beyond the first are counted" want:"\"1s\" to \"5m0s\""`
	// Without the quota settings, quotas are kept in a window of 5 s without tolerance.
	QuotaWindow  model.Duration `json:"quota-window" help:"time over which a customer's requests are counted" want:"\"1s\" to \"5m0s\""`
	QuotaOverage float64        `json:"quota-overage" help:"fraction of its quota by which a customer's requests may exceed it, summed over all instances" want:"0 to 10"`
	QuotaSlack   float64        `json:"quota-slack" help:"requests of a customer beyond that, in each quota window" want:"0 or more"`
	// The bounds of what a bad version of servers may do in a roll-out.
	ExposureShare float64        `json:"exposure-share" help:"requests of a group that a bad new version of its servers may get, per request from the order of its roll-out to the deadline" want:"0 to 1"`
	ExposureSlack float64        `json:"exposure-slack" help:"requests that a bad new version may get besides" want:"0 or more"`
	Rollback      model.Duration `json:"rollback" help:"time after its 50th bad answer within which a bad new version must get no more requests" want:"\"100ms\" to \"5m0s\""`
	Spill         bool           `json:"spill" help:"prefer servers of the own data centre, then of the own region, that are expected to answer in time" want:"true or false"`
}

// Limits are the settings for work on backend servers.
type Limits struct {
	Policy      limit.Policy `json:"policy" help:"how the limit of a warm server moves" want:"\"share\" or \"adaptive\""`
	Connections int          `json:"connections" help:"connections that this instance opens to one backend server" want:"2 to 1000"`
}

// Shutdown are the settings for a graceful shutdown.
type Shutdown struct {
	Grace model.Duration `json:"grace,omitempty" help:"time after which the process is killed; lag is shortened to fit, and drain takes what is left" want:"\"0s\" to \"5m0s\"; \"0s\": not bounded"`
	Lag   model.Duration `json:"lag" help:"how long requests are still taken after readiness failed; longer than the balancer takes to notice" want:"\"0s\" to \"5m0s\""`
	Drain model.Duration `json:"drain" help:"how long in-flight requests and records are waited for after that, if grace is not bounded" want:"\"0s\" to \"5m0s\""`
}

const (
	maxDuration    = 5 * time.Minute
	minConnections = 2
	maxConnections = 1000
)

// Default returns the defaults of the settings that a file leaves out.
func Default() Settings {
	return Settings{
		Limits:   Limits{Policy: limit.PolicyAdaptive, Connections: 5},
		Hedging:  true,
		Shutdown: Shutdown{Lag: model.Duration(2 * time.Second), Drain: model.Duration(10 * time.Second)},
		Callers:  Callers{HeaderLines: 32768},
		Routed: Routed{
			RetryRatio: 0.1, RetrySlack: 10, RetryWindow: model.Duration(10 * time.Second),
			QuotaWindow:   model.Duration(5 * time.Second),
			ExposureShare: 0.1, ExposureSlack: 50, Rollback: model.Duration(5 * time.Second),
		},
	}
}

const (
	// lagFraction is the maximum fraction of the grace period that the lag takes.
	lagFraction = 0.45
	// exitTime is the time before the end of the grace period at which the last requests are
	// answered: the answers are written, the peers are told, and the process exits. It is at
	// most exitFraction of the grace period.
	exitTime     = 400 * time.Millisecond
	exitFraction = 0.25
)

// Durations returns the lag and the drain, so that they fit the grace period. Requests that a
// server is still executing are waited for as long as the grace period allows.
func (s Shutdown) Durations() (lag, drain time.Duration) {
	lag, drain = time.Duration(s.Lag), time.Duration(s.Drain)
	if grace := time.Duration(s.Grace); grace > 0 {
		lag = min(lag, time.Duration(lagFraction*float64(grace)))
		drain = grace - lag - min(exitTime, time.Duration(exitFraction*float64(grace)))
	}
	return lag, drain
}

// Load reads and checks a settings file.
func Load(path string) (s Settings, err error) {
	defer func() { err = errors.Wrapf(err, "settings %s", path) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return Parse(data)
}

// Parse reads and checks settings.
func Parse(data []byte) (s Settings, err error) {
	s = Default()
	if err := conf.DecodeStrict(data, &s); err != nil {
		return s, err
	}
	return s, s.Check()
}

// Check returns a conf.Problems error that names each invalid setting, or nil.
func (s Settings) Check() error {
	var ps conf.Problems
	checkName(&ps, "instance", string(s.Instance))
	checkName(&ps, "data-centre", s.DataCentre)
	checkAddress(&ps, "listen", s.Listen)
	checkAddress(&ps, "control", s.Control)
	checkAddress(&ps, "store", s.Store)
	if s.Control == s.Listen && s.Listen != "" && !strings.HasSuffix(s.Listen, ":0") {
		ps.Add("control", s.Control, "an address other than listen")
	}
	if s.Metrics != "" {
		checkAddress(&ps, "metrics", s.Metrics)
	}
	for i, seed := range s.Seeds {
		checkAddress(&ps, fmt.Sprintf("seeds[%d]", i), seed)
	}
	if s.Limits.Policy != limit.PolicyShare && s.Limits.Policy != limit.PolicyAdaptive {
		ps.Add("limits.policy", string(s.Limits.Policy), `"share" or "adaptive"`)
	}
	if s.Limits.Connections < minConnections || s.Limits.Connections > maxConnections {
		ps.Add("limits.connections", s.Limits.Connections, fmt.Sprintf("%d to %d", minConnections, maxConnections))
	}
	s.Routed.check(&ps)
	s.Machine.check(&ps)
	s.Callers.check(&ps)
	checkDuration(&ps, "shutdown.grace", s.Shutdown.Grace)
	checkDuration(&ps, "shutdown.lag", s.Shutdown.Lag)
	checkDuration(&ps, "shutdown.drain", s.Shutdown.Drain)
	return ps.Err()
}

func (r *Routed) check(ps *conf.Problems) {
	if r.Ready != "" {
		checkAddress(ps, "routed.ready", r.Ready)
	}
	for _, d := range slices.Sorted(maps.Keys(r.Regions)) {
		checkName(ps, "routed.regions", d)
		checkName(ps, "routed.regions."+d, r.Regions[d])
	}
	if !(r.RetryRatio >= 0 && r.RetryRatio <= 1) {
		ps.Add("routed.retry-ratio", r.RetryRatio, "0 to 1")
	}
	if !(r.RetrySlack >= 0) {
		ps.Add("routed.retry-slack", r.RetrySlack, "0 or more")
	}
	if r.RetryWindow < model.Duration(time.Second) || time.Duration(r.RetryWindow) > maxDuration {
		ps.Add("routed.retry-window", time.Duration(r.RetryWindow).String(), `"1s" to "5m0s"`)
	}
	if r.QuotaWindow < model.Duration(time.Second) || time.Duration(r.QuotaWindow) > maxDuration {
		ps.Add("routed.quota-window", time.Duration(r.QuotaWindow).String(), `"1s" to "5m0s"`)
	}
	if !(r.QuotaOverage >= 0 && r.QuotaOverage <= 10) {
		ps.Add("routed.quota-overage", r.QuotaOverage, "0 to 10")
	}
	if !(r.QuotaSlack >= 0) {
		ps.Add("routed.quota-slack", r.QuotaSlack, "0 or more")
	}
	if !(r.ExposureShare >= 0 && r.ExposureShare <= 1) {
		ps.Add("routed.exposure-share", r.ExposureShare, "0 to 1")
	}
	if !(r.ExposureSlack >= 0) {
		ps.Add("routed.exposure-slack", r.ExposureSlack, "0 or more")
	}
	if r.Rollback < model.Duration(100*time.Millisecond) || time.Duration(r.Rollback) > maxDuration {
		ps.Add("routed.rollback", time.Duration(r.Rollback).String(), `"100ms" to "5m0s"`)
	}
}

func checkName(ps *conf.Problems, field, value string) {
	if !conf.ValidName(value) {
		ps.Add(field, value, conf.NameRule)
	}
}

func checkAddress(ps *conf.Problems, field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		ps.Add(field, value, "an IP number and port")
	}
}

func checkDuration(ps *conf.Problems, field string, value model.Duration) {
	if value < 0 || time.Duration(value) > maxDuration {
		ps.Add(field, time.Duration(value).String(), `"0s" to "5m0s"`)
	}
}

// Describe returns a Markdown table of all settings with their defaults, allowed values
// and meanings. It is generated from the struct tags.
func Describe() string {
	var out strings.Builder
	out.WriteString("| setting | default | allowed | meaning |\n| --- | --- | --- | --- |\n")
	describe(&out, "", reflect.ValueOf(Default()))
	return out.String()
}

func describe(out *strings.Builder, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Type.Kind() == reflect.Struct {
			describe(out, prefix+name+".", v.Field(i))
			continue
		}
		fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", prefix+name, defaultOf(v.Field(i)), field.Tag.Get("want"), field.Tag.Get("help"))
	}
}

func defaultOf(v reflect.Value) string {
	if v.Kind() == reflect.Slice || v.Kind() == reflect.Map || (v.Kind() == reflect.String && v.Len() == 0) {
		return ""
	}
	if d, ok := v.Interface().(model.Duration); ok {
		return "`\"" + time.Duration(d).String() + "\"`"
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("`%q`", v.String())
	}
	return fmt.Sprintf("`%v`", v.Interface())
}
