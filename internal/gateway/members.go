package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/feed"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/pkg/admission"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// memberPrefix is the prefix of the routers' keys in the store.
const memberPrefix = "members/"

// Timing of a router's registration.
const (
	memberLeaseTTL  = 10 * time.Second // The key of a dead router disappears after it.
	renewInterval   = 2 * time.Second  // A renewal also detects that the store is unreachable; readers renew every feed.VouchPeriod.
	renewRetryDelay = time.Second      // After a failed renewal.
)

// registration is the value of a router's key in the store.
type registration struct {
	VM          string
	Incarnation uint64
	DataCentre  string
	Peer        string  // Address for the other routers.
	Front       string  // Address for callers.
	Size        float64 `json:",omitempty"` // Relative capacity; zero if the router does not state it.
}

// Limits of registrations. Those beyond them come from other writers.
const (
	maxRegistrationText = 256 // Bytes of each text.
	maxSize             = 1e9 // Keeps sums over the fleet in range.
)

// check returns an error unless the registration of a VM can be used.
func (r *registration) check(vm string) error {
	switch {
	case r.VM != vm || vm == "":
		return errors.New("the key does not name the VM")
	case max(len(r.VM), len(r.DataCentre)) > maxRegistrationText:
		return errors.Newf("VM or DataCentre is longer than %d bytes", maxRegistrationText)
	case r.Size < 0 || r.Size > maxSize:
		return errors.Newf("Size %g is not between 0 and %g", r.Size, maxSize)
	}
	if err := connection.CheckAddress(r.Peer); err != nil {
		return errors.Wrap(err, "Peer")
	}
	return errors.Wrap(connection.CheckAddress(r.Front), "Front")
}

// members tracks the registrations of the routers in the store and updates the roster from them.
type members struct {
	membership.Members

	g         *Gateway
	changedAt atomic.Int64 // Time of the last change of the set of serving routers, in Unix nanoseconds.

	registrationsMu sync.Mutex
	registrations   map[string]registration // By VM; guarded by registrationsMu.

	configMu sync.Mutex
	version  uint64 // Version of the configuration in force; guarded by configMu.
	config   []byte // Configuration in force as stored; guarded by configMu.
}

func (m *members) setup(g *Gateway, self fleet.Member) {
	m.g = g
	m.registrations = map[string]registration{}
	m.Budgets = &g.budgets
	m.Endpoints = &g.endpoints
	m.Background = g.background
	m.Probe = func(address string, updates []fleet.Member) ([]fleet.Member, error) {
		answer, err := g.peers.Probe(address, updates)
		if err != nil && g.overload.isLate(time.Now()) {
			g.log.Info("probe not counted", zap.String("Address", address), logfile.Error(err))
			return nil, nil // The answer may wait to be read.
		}
		return answer, err
	}
	m.OnChange = m.handleChange
	if g.cfg.Features.RefuseConnections {
		m.OnProbed = m.handleProbed
	}
	m.Init(self)
}

// register keeps this router's key in the store until the gateway stops, then ends its lease.
func (m *members) register() {
	s := m.g.cfg.Settings
	value, err := json.Marshal(registration{s.VM, m.Self().Incarnation, s.DataCentre, s.Listen.Peer, s.Listen.Front, m.Self().Size})
	if err != nil {
		m.g.log.Error("registration not encoded", logfile.Error(err))
		return
	}
	var lease uint64
	for !m.g.stopped() {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		next, err := m.renew(ctx, lease, value)
		cancel()
		wait := renewInterval
		if m.g.isFollowed() {
			wait = feed.VouchPeriod
		}
		if err != nil {
			m.g.log.Warn("registration not renewed", zap.Uint64("Lease", lease), logfile.Error(err))
			wait = renewRetryDelay
			// An answer to another call since the renewal began shows that the store is reachable.
			if now := time.Now(); errors.Is(err, keyvalue.ErrUnavailable) && m.g.store.silence(now) >= now.Sub(began) {
				m.g.reachability.markUnreachable()
			}
		}
		lease = next
		decision.Pause(wait, m.g.stop)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := m.g.store.End(ctx, lease); err != nil {
			m.g.log.Warn("lease not ended", logfile.Error(err))
		}
	}
}

// renew extends the lease, or writes the key with a new lease if there is none or it has ended. It returns the lease.
func (m *members) renew(ctx context.Context, lease uint64, value []byte) (uint64, error) {
	if lease != 0 {
		err := m.g.store.Renew(ctx, lease)
		if !errors.Is(err, keyvalue.ErrLeaseEnded) {
			return lease, err
		}
	}
	lease, err := m.g.store.Grant(ctx, memberLeaseTTL)
	if err != nil {
		return 0, err
	}
	put := keyvalue.Put{Key: memberPrefix + m.g.cfg.Settings.VM, Value: value, Lease: lease}
	if err := m.writeRegistration(ctx, put); err != nil {
		return 0, err
	}
	return lease, nil
}

// writeRegistration writes this router's key, which may still exist from an earlier incarnation.
func (m *members) writeRegistration(ctx context.Context, put keyvalue.Put) error {
	written, err := m.g.store.Put(ctx, put)
	if err == nil && written.Outcome == budget.NoEffect && written.Current != nil {
		put.IfVersion = written.Current.Version
		written, err = m.g.store.Put(ctx, put)
	}
	if err == nil && written.Outcome != budget.TookEffect {
		err = errors.Newf("key %s was changed by another writer", put.Key)
	}
	return err
}

// applySnapshot updates the roster from the registrations of all routers.
func (m *members) applySnapshot(now time.Time, entries []keyvalue.Entry) {
	for _, e := range entries {
		m.addRegistration(e.Key, e.Value)
	}
	m.updateRoster(now)
}

// applyChanges updates the roster from changed registrations, once for all of them.
//
// Deleted registrations are ignored, because probes determine whether a router is alive.
func (m *members) applyChanges(now time.Time, changes []keyvalue.Change) {
	changed := false
	for _, c := range changes {
		if !c.Deleted {
			m.addRegistration(c.Key, c.Value)
			changed = true
		}
	}
	if changed {
		m.updateRoster(now)
	}
}

// addRegistration parses and stores one registration.
func (m *members) addRegistration(key string, value []byte) {
	var r registration
	err := json.Unmarshal(value, &r)
	if err == nil {
		err = r.check(strings.TrimPrefix(key, memberPrefix))
	}
	if err != nil {
		m.g.log.Warn("registration not read", zap.String("Key", key), logfile.Error(err))
		return
	}
	m.registrationsMu.Lock()
	defer m.registrationsMu.Unlock()
	m.registrations[r.VM] = r
}

// updateRoster passes all registrations to the roster.
func (m *members) updateRoster(now time.Time) {
	m.registrationsMu.Lock()
	vms := make([]fleet.ConfiguredVM, 0, len(m.registrations))
	registered := make([]fleet.Member, 0, len(m.registrations))
	for _, vm := range slices.Sorted(maps.Keys(m.registrations)) {
		r := m.registrations[vm]
		vms = append(vms, fleet.ConfiguredVM{VM: r.VM, Address: r.Peer, DataCentre: r.DataCentre, Size: cmp.Or(r.Size, defaultSize)})
		registered = append(registered, fleet.Member{VM: r.VM, Incarnation: r.Incarnation})
	}
	m.registrationsMu.Unlock()
	m.Handle(now, fleet.Configured{VMs: vms})
	// A key exists only while its router renews it, so it announces a router before that router's first probe arrives.
	m.Handle(now, fleet.UpdatesReceived{Updates: registered})
}

// handleChange records when the set of serving routers changed and updates the homes of the budgets.
func (m *members) handleChange(now time.Time) {
	m.changedAt.Store(now.UnixNano())
	var states []string
	for _, p := range m.All() {
		states = append(states, p.Name()+" "+p.State.String())
	}
	m.g.log.Info("members changed", zap.Strings("Members", states))
	m.g.budgets.UpdateHomes(now, m.g.peers.IsHome)
}

func (m *members) tick(now time.Time) {
	m.publishSelf(now)
	m.fetchConfiguration(now)
	m.g.forwarder.Connections.Expire(now)
	m.g.handover.expire(now)
	m.g.drawInitialGrants(now)
	m.g.origins.Tell(now)
}

// publishSelf passes this router's own state to the roster.
func (m *members) publishSelf(now time.Time) {
	m.Tick(now, m.selfChanged(now))
}

// selfChanged returns this router's own state.
func (m *members) selfChanged(now time.Time) fleet.SelfChanged {
	return fleet.SelfChanged{
		Load:     m.load(now),
		Revision: m.configVersion(),
		Draining: m.g.draining(),
		NoPath:   m.g.pathLost(now),
		Closed:   m.g.admission.closed(),
	}
}

// load returns the load that the directory goes by. It stays high for a while after the listener was closed, so that callers
// return gradually.
func (m *members) load(now time.Time) float64 {
	load := m.g.overload.load(now, m.g.cfg.Settings.Capacity.requestRate())
	if m.g.admission.loaded(now) {
		return 1
	}
	return load
}

// handleProbed records that a router of the same data centre reaches this one.
func (m *members) handleProbed(now time.Time, vm string) {
	m.registrationsMu.Lock()
	local := m.registrations[vm].DataCentre == m.g.cfg.Settings.DataCentre
	m.registrationsMu.Unlock()
	if local {
		m.g.admission.handle(now, admission.ProbeReceived{})
	}
}

// announceSelf tells some peers at once whether this router reaches the endpoints and accepts connections.
func (m *members) announceSelf(now time.Time) { m.Handle(now, m.selfChanged(now)) }

// fetchConfiguration fetches the configuration from the peer with the newest one if that is newer than this router's,
// in case this router cannot read it from the store.
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
			m.g.log.Warn("configuration not fetched", zap.String("Peer", newest.Name()), logfile.Error(err))
			return
		}
		m.g.applyConfiguration(now, value, newest.Name())
	})
}

func (m *members) setConfiguration(version uint64, value []byte) {
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

// stable reports whether the set of serving routers has not changed for stableAfter.
func (m *members) stable(now time.Time) bool {
	return now.Sub(time.Unix(0, m.changedAt.Load())) >= stableAfter
}

// stableAfter is the time without a change after which all routers are assumed to have discovered each other.
const stableAfter = 1500 * time.Millisecond

// configuration returns the configuration in force as it is stored.
func (m *members) configuration() ([]byte, error) {
	m.configMu.Lock()
	defer m.configMu.Unlock()
	if m.config == nil {
		return nil, errors.New("no configuration is in force yet")
	}
	return m.config, nil
}
