package peer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

var paths = []string{ProbePath, RecallPath, RaisePath, EntrustPath, ReservePath, SettlePath, SuspectPath, OriginsPath, OriginPath}

// newService returns the service of a router without peers, whose budget "team" has the given prepaid tokens.
func newService(t testing.TB, tokens int64) *Service {
	store := &keyvalue.Memory{}
	record, err := budget.Record{Budget: "team"}.TopUp("first", tokens)
	require.NoError(t, err)
	require.NoError(t, ledger.PutRecord(t.Context(), store, record))
	s := &Service{Members: &membership.Members{}, Budgets: &ledger.Ledger{}, Endpoints: &placement.Endpoints{}, Origins: &origin.Registry{}}
	s.Members.Budgets = s.Budgets
	s.Members.Endpoints = s.Endpoints
	s.Members.Background = func(func()) {}
	s.IsHome = func(string) bool { return true }
	self := fleet.Member{VM: "vm-1", Incarnation: 1, Address: "a:1", DataCentre: "dc", Size: 1}
	s.Members.Init(self)
	s.Budgets.Store = store
	s.Budgets.Log = zap.NewNop()
	s.Budgets.Background = func(f func()) { go f() }
	s.Budgets.Init(self.Name(), budget.Policy{})
	return s
}

// send sends a message to s and returns the Granted field of the answer.
func send(t *testing.T, s *Service, path string, message any) bool {
	body, err := json.Marshal(message)
	require.NoError(t, err)
	answer, known, err := s.Answer(path, body)
	require.True(t, known)
	require.NoError(t, err)
	var v struct{ Granted bool }
	require.NoError(t, json.Unmarshal(answer, &v))
	return v.Granted
}

func TestRepeatedLoanIsReservedAndSettledOnce(t *testing.T) {
	s := newService(t, 1000)
	loan := ledger.Loan{Request: "run-1", Budget: "team", Tokens: 600, KeepMilliseconds: time.Minute.Milliseconds()}
	require.True(t, send(t, s, ReservePath, loan))
	require.True(t, send(t, s, ReservePath, loan), "retry after a lost answer")
	view, _ := s.Budgets.View("team")
	require.EqualValues(t, 600, view.Reserved)
	for range 2 {
		send(t, s, SettlePath, []ledger.Settlement{{Request: "run-1", Tokens: 250}})
	}
	view, _ = s.Budgets.View("team")
	require.Zero(t, view.Reserved)
	require.EqualValues(t, 250, view.Account.Spent)
	require.False(t, send(t, s, ReservePath, ledger.Loan{Request: "run-2", Budget: "team", Tokens: 5000}))
}

func TestUnsettledLoanIsBilledInFull(t *testing.T) {
	s := newService(t, 1000)
	require.True(t, send(t, s, ReservePath, ledger.Loan{Request: "run-1", Budget: "team", Tokens: 300, KeepMilliseconds: 1}))
	require.Eventually(t, func() bool {
		view, _ := s.Budgets.View("team")
		return view.Account.Spent == 300 && view.Reserved == 0
	}, 10*time.Second, time.Millisecond)
}

func TestRaiseToEarlierIncarnationIsRejected(t *testing.T) {
	s := newService(t, 1000)
	raise := raiseMessage{Holder: "vm-2.1", Raise: budget.Raise{Budget: "team", Witness: "vm-1.0", Ceiling: 10}}
	require.False(t, send(t, s, RaisePath, raise))
}

// TestWitnessesAreInOtherDataCentres checks the witnesses that the holder may choose.
//
// A witness in the holder's own data centre could be lost together with the holder.
func TestWitnessesAreInOtherDataCentres(t *testing.T) {
	var update budget.PeersChanged
	m := &membership.Members{Budgets: budgetsFunc(func(ev budget.Event) { update = ev.(budget.PeersChanged) }), Endpoints: &placement.Endpoints{}, Background: func(func()) {}}
	m.Init(fleet.Member{VM: "vm-1", Incarnation: 1, Address: "a:1", DataCentre: "dc-1", Size: 1})
	m.Handle(time.Now(), fleet.Configured{VMs: []fleet.ConfiguredVM{
		{VM: "vm-2", Address: "b:1", DataCentre: "dc-1", Size: 1},
		{VM: "vm-3", Address: "c:1", DataCentre: "dc-2", Size: 1},
	}})
	m.AnswerProbe(time.Now(), []fleet.Member{
		{VM: "vm-2", Incarnation: 1, Address: "b:1", DataCentre: "dc-1", Size: 1},
		{VM: "vm-3", Incarnation: 1, Address: "c:1", DataCentre: "dc-2", Size: 1},
	})
	require.Len(t, update.Peers, 2)
	require.Len(t, update.Witnesses, 1)
	require.Contains(t, update.Witnesses[0], "vm-3")
}

// budgetsFunc implements membership.Budgets.
type budgetsFunc func(budget.Event)

func (f budgetsFunc) Handle(_ time.Time, ev budget.Event) { f(ev) }

// TestSuspectThatFinishedElsewhereIsCleared guards against a failure that the soak test found (seed 210).
//
// A router that had just started treated requests as suspect although all other routers served them. The answer to a
// suspicion therefore names the requests that have finished at the answering router.
func TestSuspectThatFinishedElsewhereIsCleared(t *testing.T) {
	s := newService(t, 10)
	now := time.Now()
	s.Endpoints.Configure(now, []placement.EndpointConfig{{Endpoint: endpoint.Endpoint{Name: "e", Serves: []string{"m"}, Slots: 1}, Address: "a:1"}}, nil)
	s.Endpoints.Decisions.Open("run")
	s.Endpoints.Handle(now, endpoint.Submitted{Request: endpoint.Request{ID: "run", Service: "m", Fingerprint: 7, Deadline: now.Add(time.Minute)}})
	s.Endpoints.Handle(now, endpoint.Ended{ID: "run", Outcome: endpoint.Finished})
	body, err := json.Marshal([]suspectMessage{{Fingerprint: 7, Deaths: 2, KeepMilliseconds: 1000}, {Fingerprint: 8, Deaths: 2, KeepMilliseconds: 1000}})
	require.NoError(t, err)
	answer, _, err := s.Answer(SuspectPath, body)
	require.NoError(t, err)
	require.JSONEq(t, `{"Sound":[7]}`, string(answer))
	var other placement.Endpoints
	other.Handle(now, endpoint.SuspectReported{Suspect: endpoint.Suspicion{Fingerprint: 7, Deaths: 2, Until: now.Add(time.Hour)}})
	other.Handle(now, endpoint.SuspectCleared{Fingerprint: 7})
	require.Empty(t, other.State(now).Suspects)
}

// FuzzAnswer sends arbitrary bytes to every path, which must neither panic nor be unknown.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"Updates":[{"VM":"a","Incarnation":1,"State":9}],"Suspects":[{"Fingerprint":1,"Part":true,"Deaths":9}]}`))
	f.Add([]byte(`{"Budget":"t"}`))
	f.Add([]byte(`{"Holder":"x","Raise":{"Witness":"vm-1.1","Ceiling":9}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newService(t, 10)
		for _, path := range paths {
			_, known, _ := s.Answer(path, data)
			require.True(t, known)
		}
	})
}
