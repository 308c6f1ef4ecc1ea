package endpoint

import "time"

// versionSettleTime is how long after an endpoint was down its version is uncertain.
//
// It may start again with another one that is not known here yet.
const versionSettleTime = 3 * time.Second

// selector says which endpoints may serve a request.
type selector struct {
	service      string // Name of a model or service.
	versionBound bool   // Only endpoints with the version may.
	version      string
	beginsStream bool // Not those at whose version no stream may begin.
}

func (r *Request) selector() selector {
	return selector{r.Service, r.VersionBound, r.Version, r.BeginsStream && !r.VersionBound}
}

// fits reports whether a selector admits an endpoint, whatever its state.
func (b *backend) fits(s selector) bool {
	return b.serves(s.service) && (!s.versionBound || b.Version == s.version)
}

// mayBegin reports whether an endpoint may get a request with a selector that it fits, or may not because the request begins
// a stream and the endpoint's version is not recorded yet.
func (b *backend) mayBegin(s selector) bool { return !s.beginsStream || !b.Unrecorded }

// uncertain reports whether a selector admits an endpoint by a version that it may no longer have.
func (b *backend) uncertain(now time.Time, s selector) bool {
	return s.versionBound && !b.downAt.IsZero() && now.Sub(b.downAt) < versionSettleTime
}

func (p *Pool) recordDown(now time.Time, name string) {
	if b, ok := p.backends[name]; ok {
		p.saveHealth(now, b)
		b.downAt = now
		p.presumeCold(now, b, afterFailure)
	}
}

// bindVersion makes the version of the endpoint that began the job's stream the only one that may go on with it.
func (j *job) bindVersion() {
	j.VersionBound = true
	j.Version = j.sentVersion
}

// HasSeveralVersions reports whether the endpoints of a model or service, also those that are leaving, differ in their version.
func (p *Pool) HasSeveralVersions(service string) bool {
	var first *backend
	for _, b := range p.ordered {
		switch {
		case !b.serves(service):
		case first == nil:
			first = b
		case b.Version != first.Version:
			return true
		}
	}
	return false
}
