package gateway

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Settings is what one process is started with.
type Settings struct {
	VM         string
	DataCentre string
	Listen     Listen
	Store      StoreSettings
	Memory     MemorySettings
	Drain      DrainSettings
	Retry      RetrySettings
}

// Listen holds the addresses that the process listens on; an empty one is not served.
type Listen struct {
	Front     string // Callers' requests.
	Ready     string // Readiness checks.
	Directory string // Callers who ask which address to use.
	Peer      string // The other routers.
	Metrics   string
}

// StoreSettings tell where the store is and how much of it a process may use.
type StoreSettings struct {
	Address         string
	WritesPerSecond float64 // Of all processes together.
	ReadsPerSecond  float64 // Of all processes together.
}

// MemorySettings bound the process's memory.
type MemorySettings struct {
	LimitMegabytes int
}

// DrainSettings tell what happens when the process is told to stop.
type DrainSettings struct {
	GraceMilliseconds int64 // Time until the process is killed.
}

// RetrySettings bound the repeats that all routers together may send to a service.
type RetrySettings struct {
	Ratio float64 // Repeats for each request.
	Slack float64 // Repeats beyond the ratio.
}

// ReadSettings parses and checks settings; file names the source in errors.
func ReadSettings(file string, text []byte) (Settings, error) {
	var s Settings
	d := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return s, errors.Newf("%s: %s", file, strict.String())
		}
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			row, col := syntax.Position()
			return s, errors.Newf("%s:%d:%d: %s", file, row, col, syntax.Error())
		}
		return s, errors.Wrap(err, file)
	}
	if problems := s.check(); len(problems) > 0 {
		return s, errors.Newf("%s: %s", file, strings.Join(problems, "; "))
	}
	return s, nil
}

func (s *Settings) check() []string {
	var problems []string
	if s.VM == "" {
		problems = append(problems, "VM: a name is needed")
	}
	for _, one := range []struct {
		name, address string
		needed        bool
	}{
		{"Listen.Front", s.Listen.Front, true},
		{"Listen.Ready", s.Listen.Ready, false},
		{"Listen.Directory", s.Listen.Directory, false},
		{"Listen.Peer", s.Listen.Peer, true},
		{"Listen.Metrics", s.Listen.Metrics, false},
		{"Store.Address", s.Store.Address, true},
	} {
		if one.address == "" && !one.needed {
			continue
		}
		if _, _, err := net.SplitHostPort(one.address); err != nil {
			problems = append(problems, fmt.Sprintf("%s: %q is not HOST:PORT", one.name, one.address))
		}
	}
	if s.Retry.Ratio < 0 || s.Retry.Slack < 0 {
		problems = append(problems, "Retry: a negative number")
	}
	return problems
}

// grace returns the time between the order to stop and the kill.
func (s *Settings) grace() time.Duration {
	if s.Drain.GraceMilliseconds <= 0 {
		return defaultGrace
	}
	return time.Duration(s.Drain.GraceMilliseconds) * time.Millisecond
}

const defaultGrace = 8 * time.Second
