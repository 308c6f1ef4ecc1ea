package peer

import (
	"math/rand/v2"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// maxProbeBrittle limits the brittle endpoints in one probe.
const maxProbeBrittle = 64

// unknownAge stands for the age of what is not known.
const unknownAge = -1

// brittleMessages returns what this router knows about brittle endpoints, for a probe.
func brittleMessages(now time.Time, endpoints *placement.Endpoints) []brittleMessage {
	reports := endpoints.BrittleReports(now)
	rand.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	var messages []brittleMessage
	for _, r := range reports[:min(len(reports), maxProbeBrittle)] {
		messages = append(messages, brittleMessage{
			Endpoint:             r.Endpoint,
			Tolerated:            r.Tolerated,
			AgeMilliseconds:      now.Sub(r.At).Milliseconds(),
			RejectedMilliseconds: ageOf(now, r.RejectedAt),
			LoadMilliseconds:     ageOf(now, r.LoadAt),
			Running:              r.Load.Running,
			Waiting:              r.Load.Waiting,
		})
	}
	return messages
}

// adoptBrittle passes what a peer knows about brittle endpoints to the endpoint pool.
//
// Unlike what an endpoint said, its load and its latest rejection get no messageDelay added, since they change quickly and
// the pool takes the latest.
func adoptBrittle(now time.Time, endpoints *placement.Endpoints, messages []brittleMessage) {
	for _, m := range messages {
		age := time.Duration(max(0, m.AgeMilliseconds))*time.Millisecond + messageDelay
		endpoints.Handle(now, endpoint.BrittleReported{
			Endpoint:   m.Endpoint,
			Tolerated:  max(0, m.Tolerated),
			At:         now.Add(-age),
			RejectedAt: timeOf(now, m.RejectedMilliseconds),
			Load:       endpoint.Load{Running: max(0, m.Running), Waiting: max(0, m.Waiting)},
			LoadAt:     timeOf(now, m.LoadMilliseconds),
		})
	}
}

// ageOf returns the age of a time in milliseconds, or unknownAge for the zero time.
func ageOf(now, at time.Time) int64 {
	if at.IsZero() {
		return unknownAge
	}
	return max(0, now.Sub(at).Milliseconds())
}

// timeOf returns the time that had an age in milliseconds, or the zero time if the age is unknown.
func timeOf(now time.Time, age int64) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}
