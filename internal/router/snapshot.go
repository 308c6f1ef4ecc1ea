package router

import (
	"github.com/foxtaillanding/foxtaillanding/internal/credential"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// snapshot is one revision of the settings, indexed for requests; it is immutable.
type snapshot struct {
	revision  uint64
	tree      settings.Tree
	limits    settings.Limits
	byKeyHash map[string]caller // Keyed by the hash of the API key.
	byName    map[string]caller // Keyed by caller.name.
}

// caller is the client account that a request comes from.
type caller struct {
	team    settings.Team
	account settings.Account
}

func newSnapshot(revision uint64, tree settings.Tree) *snapshot {
	s := &snapshot{
		revision:  revision,
		tree:      tree,
		limits:    tree.Fleet.EffectiveLimits(),
		byKeyHash: map[string]caller{},
		byName:    map[string]caller{},
	}
	for _, team := range tree.Teams {
		for _, a := range team.Accounts {
			c := caller{team, a}
			s.byKeyHash[a.KeySHA256] = c
			s.byName[team.Name+"/"+a.Name] = c
		}
	}
	return s
}

// name returns TEAM/ACCOUNT, which identifies the account in the fleet.
func (c caller) name() string { return c.team.Name + "/" + c.account.Name }

func (c caller) class() endpoint.Class {
	name := c.account.Class
	if name == "" {
		name = c.team.Class
	}
	class, _ := endpoint.ParseClass(name)
	return class
}

// caller returns the client account of an API key. Only hashes are compared, so that timing reveals nothing about a valid key.
func (s *snapshot) caller(key string) (caller, bool) {
	hash := settings.HashKey(key)
	c, ok := s.byKeyHash[hash]
	return c, ok && credential.Equal(hash, c.account.KeySHA256)
}

// serves reports whether any endpoint serves the model or service.
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
