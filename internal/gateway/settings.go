package gateway

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
)

// Settings holds the settings of one gateway process.
type Settings struct {
	VM         string
	DataCentre string
	Listen     Listen
	Store      StoreSettings
	Memory     MemorySettings
	Drain      DrainSettings
	Retry      RetrySettings
	Capacity   CapacitySettings
	Platform   PlatformSettings
	Cold       ColdSettings
	Pace       PaceSettings
}

// Listen holds the addresses that the process listens on; an empty one disables its listener.
type Listen struct {
	Front     string // Callers' requests.
	Ready     string // Readiness checks.
	Directory string // Callers' queries for the addresses to use.
	Peer      string // Messages from other routers.
	Metrics   string
}

// StoreSettings holds the address of the store and its rate limits.
type StoreSettings struct {
	Address         string
	WritesPerSecond Figure // Limit for all routers together.
	ReadsPerSecond  Figure // Limit for all routers together.
}

// MemorySettings holds the memory limit of the process.
type MemorySettings struct {
	LimitMegabytes Figure // Zero means no limit.
}

// limitBytes returns the memory limit in bytes, or zero if there is none.
func (m MemorySettings) limitBytes() float64 {
	const megabyte = 1 << 20
	return float64(m.LimitMegabytes) * megabyte
}

// DrainSettings controls the shutdown of the process.
type DrainSettings struct {
	GraceSeconds      Figure // Time from the stop request until the process is killed; if both are zero, defaultGrace.
	GraceMilliseconds Figure // The same in another unit; used if GraceSeconds is zero.
}

// RetrySettings limits the retries that all routers together may send to a service.
type RetrySettings struct {
	Ratio Figure // Retries per request.
	Slack Figure // Retries allowed beyond the ratio.
}

// CapacitySettings describes the VM, so that the routers can share the load in proportion.
type CapacitySettings struct {
	CoreShare    Figure // Usable share of a processor core; zero if not known.
	CoreSpeed    Figure // Speed of the core relative to others; zero means 1.
	LinkMegabits Figure // Bandwidth of the VM's link in megabits per second; zero if not known.
}

// PlatformSettings describes the deployment in the platform's own words.
type PlatformSettings struct {
	Contracts []string // Parts of the platform's rules that are in force.
}

// ColdSettings limits what all routers together may send to a cold endpoint within a second: Excess times the requests per second
// that it bears, plus Slack.
type ColdSettings struct {
	Excess Figure
	Slack  Figure
}

// PaceSettings selects endpoints that are paced after they have started or recovered; those that may be cold always are.
type PaceSettings struct {
	Engines bool // All model engines.
}

// Requests per second that a VM can forward, per unit of its resources.
const (
	requestsPerCore    = 350
	requestsPerMegabit = 5 // For about 25 KB a request, in both directions.
)

// defaultSize is the size of a VM whose capacity is not known.
const defaultSize = 100

// requestRate returns the requests per second that the VM can serve, which its scarcest resource limits; it is infinite
// if nothing is known.
func (c CapacitySettings) requestRate() float64 {
	rate := math.Inf(1)
	if c.CoreShare > 0 {
		rate = float64(requestsPerCore * c.CoreShare * cmp.Or(c.CoreSpeed, 1))
	}
	if c.LinkMegabits > 0 {
		rate = min(rate, float64(requestsPerMegabit*c.LinkMegabits))
	}
	return rate
}

// linkBytesPerSecond returns the bandwidth of the VM's link, or zero if it is not known.
func (c CapacitySettings) linkBytesPerSecond() float64 {
	const bytesPerMegabit = 1e6 / 8
	return float64(bytesPerMegabit * c.LinkMegabits)
}

// size returns the relative capacity of the VM.
func (c CapacitySettings) size() float64 {
	if rate := c.requestRate(); !math.IsInf(rate, 1) {
		return rate
	}
	return defaultSize
}

// ReadSettings parses and validates settings; file is the source named in errors.
func ReadSettings(file string, text []byte) (Settings, error) {
	s, err := decodeSettings(file, text, true)
	if err != nil {
		return s, err
	}
	if problems := append(s.check(), s.unusableFigures()...); len(problems) > 0 {
		return s, errors.Newf("%s: %s", file, strings.Join(problems, "; "))
	}
	return s, nil
}

// ReadStartSettings parses settings for the start of a process, which is better than none: unknown fields are ignored, and
// figures that cannot be used take their defaults. It returns what was wrong with these; file is the source named in errors.
func ReadStartSettings(file string, text []byte) (s Settings, problems []string, err error) {
	if s, err = decodeSettings(file, text, true); err != nil {
		problems = append(problems, err.Error())
		if s, err = decodeSettings(file, text, false); err != nil {
			return s, nil, err
		}
	}
	problems = append(problems, s.unusableFigures()...)
	s.resetUnusableFigures()
	if invalid := s.check(); len(invalid) > 0 {
		return s, nil, errors.Newf("%s: %s", file, strings.Join(invalid, "; "))
	}
	return s, problems, nil
}

// decodeSettings parses settings. If strict is set, an unknown field is an error.
func decodeSettings(file string, text []byte, strict bool) (Settings, error) {
	var s Settings
	d := toml.NewDecoder(strings.NewReader(string(text)))
	if strict {
		d.DisallowUnknownFields()
	}
	err := d.Decode(&s)
	if err == nil {
		return s, nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return s, errors.Newf("%s: %s", file, unknown.String())
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		row, col := syntax.Position()
		return s, errors.Newf("%s:%d:%d: %s", file, row, col, syntax.Error())
	}
	return s, errors.Wrap(err, file)
}

// check returns the problems of the settings other than those of its figures.
func (s *Settings) check() []string {
	var problems []string
	if s.VM == "" {
		problems = append(problems, "VM: the name is missing")
	}
	for _, field := range []struct {
		name, address string
		required      bool
	}{
		{"Listen.Front", s.Listen.Front, true},
		{"Listen.Ready", s.Listen.Ready, false},
		{"Listen.Directory", s.Listen.Directory, false},
		{"Listen.Peer", s.Listen.Peer, true},
		{"Listen.Metrics", s.Listen.Metrics, false},
		{"Store.Address", s.Store.Address, true},
	} {
		if field.address == "" && !field.required {
			continue
		}
		if _, _, err := net.SplitHostPort(field.address); err != nil {
			problems = append(problems, fmt.Sprintf("%s: %q is not HOST:PORT", field.name, field.address))
		}
	}
	return append(problems, s.checkPublished()...)
}

// checkPublished returns the problems of the addresses that callers and the other routers are given.
func (s *Settings) checkPublished() []string {
	var problems []string
	for _, field := range []struct{ name, address string }{{"Listen.Front", s.Listen.Front}, {"Listen.Peer", s.Listen.Peer}} {
		if _, _, err := net.SplitHostPort(field.address); err != nil {
			continue // Reported by check.
		}
		if err := connection.CheckAddress(field.address); err != nil {
			problems = append(problems, field.name+": "+err.Error())
		}
	}
	return problems
}

// grace returns the time from the stop request until the process is killed.
func (s *Settings) grace() time.Duration {
	switch {
	case s.Drain.GraceSeconds > 0:
		return time.Duration(float64(s.Drain.GraceSeconds) * float64(time.Second))
	case s.Drain.GraceMilliseconds > 0:
		return time.Duration(float64(s.Drain.GraceMilliseconds) * float64(time.Millisecond))
	}
	return defaultGrace
}

const defaultGrace = 8 * time.Second
