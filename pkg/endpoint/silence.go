package endpoint

import "time"

// Parameters of the avoidance of silent endpoints.
const (
	silentShareDivisor = 2   // At most this part of the endpoints of a selector is avoided for silence.
	silencePenalty     = 1.0 // Seconds by which a silent endpoint that is not avoided costs more than another one.
)

// Responded reports that an endpoint went on with the answer to a request after a silence.
type Responded struct{ ID string }

func (Responded) isEvent() {}

// tolerance says which endpoints get requests although they are better avoided.
type tolerance struct {
	ejected bool // Those that are ejected, because there are no others.
	silent  bool // Those that are silent, because there are too many of them.
}

// toleranceOf returns the tolerance for the endpoints that a selector admits.
//
// A sound endpoint may be silent for a while, and several may be at the same time. If more than their part of the endpoints
// that are neither leaving, resting nor ejected is silent, the rest could not take the load of all, so that none is avoided.
func (p *Pool) toleranceOf(now time.Time, s selector) tolerance {
	candidates, silent := 0, 0
	for _, b := range p.ordered {
		if !b.fits(s) || !b.mayBegin(s) || b.leaving() || b.rests(now) || now.Before(b.ejectedUntil) {
			continue
		}
		candidates++
		if b.silent() {
			silent++
		}
	}
	if candidates == 0 {
		return tolerance{ejected: true, silent: true} // An ejected endpoint is better than none.
	}
	return tolerance{silent: silent*silentShareDivisor > candidates}
}

// silent reports whether the endpoint has said nothing since it was found silent.
func (b *backend) silent() bool { return b.silences > 0 }

// recordSilence avoids an endpoint for a time that doubles with each further silence before it speaks again.
//
// It does nothing while the endpoint is avoided, so that several attempts count once. What the endpoint has cached stays.
func (b *backend) recordSilence(now time.Time, p Policy) {
	if now.Before(b.silentUntil) {
		return
	}
	duration := p.BaseEjectionTime << min(b.silences, 10)
	b.silentUntil = now.Add(min(duration, p.MaxEjectionTime))
	b.silences++
}

// endSilence ends the silence of an endpoint.
func (b *backend) endSilence() {
	b.silentUntil = time.Time{}
	b.silences = 0
}

// recoverFromSilence ends the silence of an endpoint that has answered something, and paces it if it was silent.
func (b *backend) recoverFromSilence(now time.Time) {
	if b.silent() {
		b.beginPace(now)
	}
	b.endSilence()
}

func (p *Pool) recordResponded(now time.Time, id string) []Action {
	j, ok := p.jobs[id]
	if !ok || j.target == nil {
		return nil
	}
	p.confirmReceived(now, j.target.Name)
	p.observeColdAnswer(now, j.target, j.sentAt)
	if !j.target.silent() {
		return nil
	}
	j.target.recoverFromSilence(now)
	return p.dispatch(now)
}
