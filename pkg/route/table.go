package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table indexes the routes, services and accounts of one Configuration.
//
// The zero value is an empty table.
type Table struct {
	Configuration

	routesByHost map[string][]*Route // Longest prefix first.
	services     map[string]*Service // By name.
	accounts     map[string]*Account // By key.
}

// NewTable returns the table of a configuration; it keeps references to the slices of cfg.
func NewTable(cfg Configuration) *Table {
	t := &Table{
		Configuration: cfg,
		routesByHost:  map[string][]*Route{},
		services:      map[string]*Service{},
		accounts:      map[string]*Account{},
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Accounts {
		for _, key := range cfg.Accounts[i].Keys {
			t.accounts[key] = &cfg.Accounts[i]
		}
	}
	return t
}

// Lookup returns the route of a request. The host is matched in lower case, without its port.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Account returns the account that the key belongs to.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.accounts[key]
	return a, ok
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the names of the services that requests of the route may be sent to.
func (r *Route) Services() []string {
	names := make([]string, 0, len(r.Targets))
	for _, target := range r.Targets {
		names = append(names, target.Service)
	}
	return names
}

// Service returns the name of the service for the request with the given ID; the same ID always gives the same service.
//
// It returns an empty name if the route has no targets.
func (r *Route) Service(id string) string {
	var total float64
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	const resolution = 1 << 20
	remaining := float64(xxhash.Sum64String(id)%resolution) / resolution * total
	for _, target := range r.Targets {
		remaining -= max(0, target.Weight)
		if remaining < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
