package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table finds routes, services and accounts of one Configuration.
//
// The zero value holds nothing.
type Table struct {
	Configuration

	byHost   map[string][]*Route // Longest prefix first.
	services map[string]*Service
	keys     map[string]*Account
}

// NewTable returns the table of a configuration.
func NewTable(cfg Configuration) *Table {
	t := &Table{
		Configuration: cfg,
		byHost:        map[string][]*Route{},
		services:      map[string]*Service{},
		keys:          map[string]*Account{},
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Accounts {
		for _, key := range cfg.Accounts[i].Keys {
			t.keys[key] = &cfg.Accounts[i]
		}
	}
	return t
}

// Lookup returns the route of a request; host may carry a port.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Account returns the account that holds a key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.keys[key]
	return a, ok
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Service returns the service of a request, the same one for the same ID.
func (r *Route) Service(id string) string {
	var sum float64
	for _, target := range r.Targets {
		sum += max(0, target.Weight)
	}
	const resolution = 1 << 20
	point := float64(xxhash.Sum64String(id)%resolution) / resolution * sum
	for _, target := range r.Targets {
		point -= max(0, target.Weight)
		if point < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
