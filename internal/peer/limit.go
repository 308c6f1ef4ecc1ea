package peer

import (
	"math/rand/v2"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// maxProbeLimits limits the limits of endpoints in one probe.
const maxProbeLimits = 64

// messageDelay is the longest time that a probe or its answer is assumed to take.
//
// What a peer tells counts as older by this time, so that an answer that this router received itself takes precedence.
const messageDelay = time.Second

// limitMessages returns what this router knows about the limits of endpoints, for a probe.
func limitMessages(now time.Time, endpoints *placement.Endpoints) []limitMessage {
	reports := endpoints.LimitReports(now)
	rand.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	var messages []limitMessage
	for _, r := range reports[:min(len(reports), maxProbeLimits)] {
		messages = append(messages, limitMessage{r.Endpoint, r.Rate, now.Sub(r.At).Milliseconds()})
	}
	return messages
}

// adoptLimits passes the limits that a peer knows of to the endpoint pool.
func adoptLimits(now time.Time, endpoints *placement.Endpoints, messages []limitMessage) {
	for _, m := range messages {
		age := time.Duration(max(0, m.AgeMilliseconds))*time.Millisecond + messageDelay
		endpoints.Handle(now, endpoint.LimitReported{Endpoint: m.Endpoint, Rate: m.RequestsPerSecond, At: now.Add(-age)})
	}
}
