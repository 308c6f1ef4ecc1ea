package peer

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// configureVersions configures endpoints of a service with the given versions.
func configureVersions(endpoints *placement.Endpoints, versions ...string) {
	var configs []placement.EndpointConfig
	for i, version := range versions {
		e := endpoint.Endpoint{Name: string(rune('a' + i)), Serves: []string{"s"}, Version: version, Slots: 1}
		configs = append(configs, placement.EndpointConfig{Endpoint: e, Address: "a:1"})
	}
	endpoints.Configure(time.Now(), configs, nil)
}

// fixedVersions is a router's knowledge of the versions of all services.
type fixedVersions struct {
	view     origin.View
	mustTell bool
	err      error // Of reading the record.
}

func (v *fixedVersions) MustTell(time.Time, string) bool { return v.mustTell }

func (v *fixedVersions) View(time.Time, string) origin.View { return v.view }

func (v *fixedVersions) Read(string) (origin.View, error) { return v.view, v.err }

func recorded(versions ...string) *fixedVersions {
	return &fixedVersions{view: origin.View{Versions: versions, Recorded: true}}
}

// TestHomesKnowWhereStreamsOfALostRouterBegan guards against streams whose version dies with the router that served them.
func TestHomesKnowWhereStreamsOfALostRouterBegan(t *testing.T) {
	home := newService(t, 10)
	address := serve(t, home)
	lost := &Origins{Client: newClient(address), Registry: &origin.Registry{}, Versions: recorded("v1")}
	o := origin.Origin{Stream: "1", Service: "s", Version: "v1"}
	configureVersions(lost.Client.Endpoints, "v1", "v1")
	now := time.Now()
	lost.Began(now, o)
	lost.Tell(now)
	other := &Origins{Client: newClient(address), Registry: &origin.Registry{}, Versions: recorded("v1", "v2")}
	asked := origin.Answer{SeveralVersions: true, HomesAsked: 1, HomesAnswered: 1}
	require.Equal(t, asked, other.Find(now, "1", "s"), "one version serves, so nobody was told")

	configureVersions(lost.Client.Endpoints, "v1", "v2")
	lost.Tell(now)
	asked.Origin = o
	asked.Known = true
	asked.Source = origin.FromHome
	asked.SeveralVersions = false
	require.Equal(t, asked, other.Find(now, "1", "s"))

	o.Stream = "2"
	lost.Began(now, o)
	require.Eventually(t, func() bool { return other.Find(now, "2", "s").Known }, 5*time.Second, 10*time.Millisecond, "told soon")
}

// TestRouterThatMayLagTellsHomes guards against a router that sees one version, does not know whether others serve, and tells nobody.
func TestRouterThatMayLagTellsHomes(t *testing.T) {
	home := newService(t, 10)
	lagging := &Origins{Client: newClient(serve(t, home)), Registry: &origin.Registry{}, Versions: &fixedVersions{mustTell: true}}
	configureVersions(lagging.Client.Endpoints, "v1")
	now := time.Now()
	lagging.Began(now, origin.Origin{Stream: "1", Service: "s", Version: "v1"})
	lagging.Tell(now)
	_, known := home.Origins.Find(now, "1")
	require.True(t, known)
}

// archived is an archive of one stream.
type archived struct {
	origin.Origin

	err error
}

func (a archived) Find(_ context.Context, _ time.Time, stream string) (origin.Origin, bool, error) {
	return a.Origin, a.err == nil && stream == a.Stream, a.err
}

// TestUnknownStreamGoesOnOnlyIfItsVersionIsProved asks one home, which knows no stream, for streams in turn.
func TestUnknownStreamGoesOnOnlyIfItsVersionIsProved(t *testing.T) {
	home := newService(t, 10)
	address := serve(t, home)
	unread := recorded("v1")
	unread.err = errors.New("no store")
	atV2 := origin.Origin{Stream: "1", Service: "s", Version: "v2"}
	for name, c := range map[string]struct {
		own, home *fixedVersions
		archive   origin.Archive
		want      origin.Answer
	}{
		"record":              {recorded("v1"), recorded("v1"), nil, origin.Answer{Known: true, Source: origin.FromRecord, Origin: origin.Origin{Stream: "1", Service: "s", Version: "v1"}}},
		"no record":           {&fixedVersions{view: origin.View{Versions: []string{"v1"}}}, recorded(), nil, origin.Answer{}},
		"record not read":     {unread, recorded("v1"), nil, origin.Answer{Incomplete: true}},
		"several":             {recorded("v1", "v2"), recorded("v1"), nil, origin.Answer{SeveralVersions: true}},
		"home knows another":  {recorded("v1"), recorded("v2"), nil, origin.Answer{SeveralVersions: true}},
		"archive knows":       {recorded("v1", "v2"), recorded(), archived{Origin: atV2}, origin.Answer{SeveralVersions: true, Known: true, Source: origin.FromArchive, Origin: atV2}},
		"archive not reached": {recorded("v1", "v2"), recorded(), archived{err: errors.New("no store")}, origin.Answer{SeveralVersions: true, Incomplete: true}},
		"archive, store away": {unread, recorded("v1"), archived{Origin: atV2}, origin.Answer{Known: true, Source: origin.FromArchive, Origin: atV2, Incomplete: true}},
	} {
		home.Versions = c.home
		s := &Origins{Client: newClient(address), Registry: &origin.Registry{}, Versions: c.own, Archive: c.archive}
		c.want.HomesAsked = 1
		c.want.HomesAnswered = 1
		require.Equal(t, c.want, s.Find(time.Now(), "1", "s"), name)
	}
}

// TestUnansweredQuestionIsNoProof asks a home that does not answer.
func TestUnansweredQuestionIsNoProof(t *testing.T) {
	s := &Origins{Client: newClient("127.0.0.1:1"), Registry: &origin.Registry{}, Versions: recorded("v1", "v2")}
	require.Equal(t, origin.Answer{SeveralVersions: true, HomesAsked: 1, Incomplete: true}, s.Find(time.Now(), "1", "s"))
}

// TestProbesSpreadLimits lets a router without news of an endpoint probe one that has, before and after the limit ends.
func TestProbesSpreadLimits(t *testing.T) {
	s := newService(t, 10)
	c := newClient(serve(t, s))
	configureVersions(s.Endpoints, "v1")
	configureVersions(c.Endpoints, "v1")
	var known []endpoint.LimitChanged
	c.Endpoints.OnLimitChanged = func(changed endpoint.LimitChanged) { known = append(known, changed) }
	address, ok := c.Members.VMAddress("vm-1")
	require.True(t, ok)
	probe := func() {
		_, err := c.Probe(address, nil)
		require.NoError(t, err)
	}
	now := time.Now()
	s.Endpoints.Handle(now, endpoint.LimitReported{Endpoint: "a", Rate: 3, At: now})
	probe()
	probe()
	require.Len(t, known, 1)
	require.InDelta(t, 3, known[0].Now, 0)
	later := now.Add(time.Second)
	s.Endpoints.Handle(later, endpoint.LimitReported{Endpoint: "a", At: later})
	probe()
	require.Len(t, known, 2)
	require.Zero(t, known[1].Now)
}

// TestHomeOfAnEarlierBuildThatSeesSeveralVersionsIsNoProof asks a home whose answer has no list of versions.
func TestHomeOfAnEarlierBuildThatSeesSeveralVersionsIsNoProof(t *testing.T) {
	home := newService(t, 10)
	home.Versions = nil // The earlier build answers with SeveralVersions alone.
	configureVersions(home.Endpoints, "v1", "v2")
	s := &Origins{Client: newClient(serve(t, home)), Registry: &origin.Registry{}, Versions: recorded("v2")}
	answer := s.Find(time.Now(), "1", "s")
	require.Equal(t, 1, answer.HomesAnswered)
	require.False(t, answer.Known, "source %v, version %s", answer.Source, answer.Origin.Version)
}
