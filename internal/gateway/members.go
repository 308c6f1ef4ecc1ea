package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// memberPrefix is the prefix of the routers' keys in the store.
const memberPrefix = "members/"

// Times of a router's key.
const (
	memberLease   = 10 * time.Second // After which a dead router's key disappears.
	renewEvery    = 2 * time.Second  // A renewal also finds out that the store is out of reach.
	registerAgain = time.Second      // After a renewal that failed.
)

// registration is what a router writes about itself.
type registration struct {
	VM          string
	Incarnation uint64
	DataCentre  string
	Peer        string // Address for the other routers.
	Front       string // Address for callers.
}

// members follows the routers' keys and carries out what the roster decides.
type members struct {
	membership.Members

	g         *Gateway
	changedAt atomic.Int64 // Last change of the set of serving routers, in nanoseconds of the Unix time.

	entriesMu sync.Mutex
	entries   map[string]registration // By VM; guarded by entriesMu.

	configMu sync.Mutex
	version  uint64 // Of the configuration in force; guarded by configMu.
	config   []byte // As it stands in the store; guarded by configMu.
}

func (m *members) open(g *Gateway, self fleet.Member) {
	m.g = g
	m.entries = map[string]registration{}
	m.Budgets = &g.budgets
	m.Endpoints = &g.endpoints
	m.Background = g.background
	m.Probe = func(address string, updates []fleet.Member) ([]fleet.Member, error) {
		return g.peers.Probe(address, updates)
	}
	m.Changed = m.noteChange
	m.Open(self)
}

// register keeps this router's key in the store until the gateway stops.
func (m *members) register() {
	s := m.g.cfg.Settings
	value, err := json.Marshal(registration{s.VM, m.Self().Incarnation, s.DataCentre, s.Listen.Peer, s.Listen.Front})
	if err != nil {
		m.g.log.Error("registration not encoded", logfile.Problem(err))
		return
	}
	var lease uint64
	for !m.g.stopped() {
		asked := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		next, err := m.renew(ctx, lease, value)
		cancel()
		wait := renewEvery
		if err != nil {
			m.g.log.Warn("registration not renewed", zap.Uint64("Lease", lease), logfile.Problem(err))
			wait = registerAgain
			if now := time.Now(); errors.Is(err, keyvalue.ErrUnavailable) && m.g.store.silence(now) >= now.Sub(asked) {
				m.g.reach.lose()
			}
		}
		lease = next
		decision.Pause(wait, m.g.stop)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := m.g.store.End(ctx, lease); err != nil {
			m.g.log.Warn("lease not ended", logfile.Problem(err))
		}
	}
}

// renew extends the lease, or writes the key under a new one.
func (m *members) renew(ctx context.Context, lease uint64, value []byte) (uint64, error) {
	if lease != 0 {
		err := m.g.store.Renew(ctx, lease)
		if !errors.Is(err, keyvalue.ErrLeaseEnded) {
			return lease, err
		}
	}
	lease, err := m.g.store.Grant(ctx, memberLease)
	if err != nil {
		return 0, err
	}
	key := memberPrefix + m.g.cfg.Settings.VM
	was, err := m.g.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	written, err := m.g.store.Put(ctx, keyvalue.Put{Key: key, Value: value, IfVersion: was.Version, Lease: lease})
	if err != nil {
		return 0, err
	}
	if written.Outcome != budget.TookEffect {
		return 0, errors.Newf("key %s was changed by another writer", key)
	}
	return lease, nil
}

// read takes all routers' keys over.
func (m *members) read(now time.Time, entries []keyvalue.Entry) {
	for _, e := range entries {
		m.take(e.Key, e.Value)
	}
	m.configure(now)
}

// changed takes one change over; a router whose key is gone stays known, since probes tell whether it lives.
func (m *members) changed(now time.Time, c keyvalue.Change) {
	if c.Deleted {
		return
	}
	m.take(c.Key, c.Value)
	m.configure(now)
}

func (m *members) take(key string, value []byte) {
	var r registration
	if err := json.Unmarshal(value, &r); err != nil || r.VM != strings.TrimPrefix(key, memberPrefix) || r.Peer == "" {
		m.g.log.Warn("registration not read", zap.String("Key", key), logfile.Problem(err))
		return
	}
	m.entriesMu.Lock()
	defer m.entriesMu.Unlock()
	m.entries[r.VM] = r
}

func (m *members) configure(now time.Time) {
	m.entriesMu.Lock()
	seeds := make([]fleet.Seed, 0, len(m.entries))
	registered := make([]fleet.Member, 0, len(m.entries))
	for _, vm := range slices.Sorted(maps.Keys(m.entries)) {
		r := m.entries[vm]
		seeds = append(seeds, fleet.Seed{VM: r.VM, Address: r.Peer, DataCentre: r.DataCentre, Size: 1})
		registered = append(registered, fleet.Member{VM: r.VM, Incarnation: r.Incarnation})
	}
	m.entriesMu.Unlock()
	m.Handle(now, fleet.Configured{VMs: seeds})
	// A key lives for as long as its router renews it, so that it tells of a router before the router's first probe does.
	m.Handle(now, fleet.Heard{Updates: registered})
}

// noteChange records who serves and since when.
func (m *members) noteChange(now time.Time) {
	m.changedAt.Store(now.UnixNano())
	var states []string
	for _, p := range m.All() {
		states = append(states, p.Name()+" "+p.State.String())
	}
	m.g.log.Info("members changed", zap.Strings("Members", states))
	m.g.budgets.Rehome(now, m.g.peers.IsHome)
}

func (m *members) tick(now time.Time) {
	m.Tick(now, fleet.SelfChanged{Revision: m.configVersion(), Draining: m.g.draining.Load()})
	m.fetchConfiguration(now)
	m.g.forwarder.Connections.Expire(now)
	m.g.drawFirst(now)
}

// fetchConfiguration asks a peer that has a newer configuration for it, in case the store does not tell this router.
func (m *members) fetchConfiguration(now time.Time) {
	newest := fleet.Member{Revision: m.configVersion()}
	for _, p := range m.Peers() {
		if p.Revision > newest.Revision {
			newest = p
		}
	}
	if newest.VM == "" {
		return
	}
	m.g.background(func() {
		value, err := m.g.peers.Get(newest.Address, configurationPath)
		if err != nil {
			m.g.log.Warn("configuration not fetched", zap.String("Peer", newest.Name()), logfile.Problem(err))
			return
		}
		m.g.configure(now, value, newest.Name())
	})
}

func (m *members) keepConfiguration(version uint64, value []byte) {
	m.configMu.Lock()
	defer m.configMu.Unlock()
	m.version = version
	m.config = value
}

func (m *members) configVersion() uint64 {
	m.configMu.Lock()
	defer m.configMu.Unlock()
	return m.version
}

// settled reports whether the set of serving routers has not changed for a while.
func (m *members) settled(now time.Time) bool {
	return now.Sub(time.Unix(0, m.changedAt.Load())) >= settledAfter
}

// settledAfter is the time without a change after which the routers are taken to know each other.
const settledAfter = 1500 * time.Millisecond

// fewest is the number of routers in a caller's data centre below which all routers are named.
const fewest = 2

// fronts returns the addresses for a caller in a data centre, those of ready routers there if there are enough.
func (m *members) fronts(dataCentre string) []string {
	var near, all []string
	for _, p := range m.All() {
		front := m.front(p.VM)
		if p.State != fleet.Alive || front == "" {
			continue
		}
		all = append(all, front)
		if p.DataCentre == dataCentre {
			near = append(near, front)
		}
	}
	if len(near) >= fewest {
		return sample(near)
	}
	if len(all) == 0 {
		return []string{m.g.cfg.Settings.Listen.Front}
	}
	return sample(all)
}

// mostAddresses is the number of addresses that callers take from one answer.
const mostAddresses = 64

// sample returns a random choice of a list that is too long for one answer.
func sample(addresses []string) []string {
	if len(addresses) <= mostAddresses {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:mostAddresses]
}

// front returns where a router takes requests.
func (m *members) front(vm string) string {
	m.entriesMu.Lock()
	defer m.entriesMu.Unlock()
	if vm == m.g.cfg.Settings.VM {
		return m.g.cfg.Settings.Listen.Front
	}
	return m.entries[vm].Front
}

// configuration returns the configuration in force as it stands in the store.
func (m *members) configuration() ([]byte, error) {
	m.configMu.Lock()
	defer m.configMu.Unlock()
	if m.config == nil {
		return nil, errors.New("no configuration is known")
	}
	return m.config, nil
}
