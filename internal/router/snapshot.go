package router

import (
	"github.com/foxtaillanding/foxtaillanding/internal/credential"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// snapshot is the settings in force in the form that requests need; it is never changed.
type snapshot struct {
	revision uint64
	tree     settings.Tree
	limits   settings.Limits
	byKey    map[string]caller // By the hash of the API key.
	byName   map[string]caller // By account.
}

// caller is the client account that a request comes from.
type caller struct {
	team    settings.Team
	account settings.Account
}

func newSnapshot(revision uint64, tree settings.Tree) *snapshot {
	s := &snapshot{
		revision: revision,
		tree:     tree,
		limits:   tree.Fleet.EffectiveLimits(),
		byKey:    map[string]caller{},
		byName:   map[string]caller{},
	}
	for _, team := range tree.Teams {
		for _, a := range team.Accounts {
			c := caller{team, a}
			s.byKey[a.KeySHA256] = c
			s.byName[team.Name+"/"+a.Name] = c
		}
	}
	return s
}

// name identifies the account in peer messages and logs.
func (c caller) name() string { return c.team.Name + "/" + c.account.Name }

func (c caller) class() endpoint.Class {
	name := c.account.Class
	if name == "" {
		name = c.team.Class
	}
	class, _ := endpoint.ParseClass(name)
	return class
}

// caller finds the account of an API key; the comparison takes the same time for every wrong key.
func (s *snapshot) caller(key string) (caller, bool) {
	hash := settings.HashKey(key)
	c, ok := s.byKey[hash]
	return c, ok && credential.Same(hash, c.account.KeySHA256)
}

func (s *snapshot) serves(name string) bool {
	for _, e := range s.tree.Fleet.Endpoints {
		for _, served := range e.Serves {
			if served == name {
				return true
			}
		}
	}
	return false
}
