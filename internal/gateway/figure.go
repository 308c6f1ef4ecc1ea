package gateway

import (
	"math"
	"strconv"
	"strings"
)

// Figure is a number in the settings: a whole number or a fraction. A truth value states no number and leaves the default.
type Figure float64

// maxFigure is the largest figure that is used, so that conversions to other units stay in range.
const maxFigure = 1e9

// UnmarshalText reads a figure. One that cannot be read becomes unusable, so that the other settings can still be used.
func (f *Figure) UnmarshalText(text []byte) error {
	if s := string(text); s == "true" || s == "false" {
		*f = 0
		return nil
	}
	v, err := strconv.ParseFloat(strings.ReplaceAll(string(text), "_", ""), 64)
	if err != nil {
		v = math.NaN()
	}
	*f = Figure(v)
	return nil
}

// MarshalText writes a figure as UnmarshalText reads it.
func (f Figure) MarshalText() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(f), 'g', -1, 64), nil
}

// usable reports whether a figure is in the range of all figures.
func (f Figure) usable() bool { return f >= 0 && f <= maxFigure }

// namedFigure is a figure of the settings with its name.
type namedFigure struct {
	name   string
	figure *Figure
}

// figures returns all figures of the settings.
func (s *Settings) figures() []namedFigure {
	return []namedFigure{
		{"Store.WritesPerSecond", &s.Store.WritesPerSecond},
		{"Store.ReadsPerSecond", &s.Store.ReadsPerSecond},
		{"Memory.LimitMegabytes", &s.Memory.LimitMegabytes},
		{"Drain.GraceSeconds", &s.Drain.GraceSeconds},
		{"Drain.GraceMilliseconds", &s.Drain.GraceMilliseconds},
		{"Retry.Ratio", &s.Retry.Ratio},
		{"Retry.Slack", &s.Retry.Slack},
		{"Capacity.CoreShare", &s.Capacity.CoreShare},
		{"Capacity.CoreSpeed", &s.Capacity.CoreSpeed},
		{"Capacity.LinkMegabits", &s.Capacity.LinkMegabits},
		{"Cold.Excess", &s.Cold.Excess},
		{"Cold.Slack", &s.Cold.Slack},
	}
}

// unusableFigures returns the problems of the figures.
func (s *Settings) unusableFigures() []string {
	var problems []string
	for _, n := range s.figures() {
		if !n.figure.usable() {
			problems = append(problems, n.name+": not a number from 0 to "+strconv.FormatFloat(maxFigure, 'g', -1, 64))
		}
	}
	return problems
}

// resetUnusableFigures sets the figures that are not usable to zero, which selects their defaults.
func (s *Settings) resetUnusableFigures() {
	for _, n := range s.figures() {
		if !n.figure.usable() {
			*n.figure = 0
		}
	}
}
