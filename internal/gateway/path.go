package gateway

import "time"

// pathLost reports whether this router reaches no endpoint: all of them are ejected.
func (g *Gateway) pathLost(now time.Time) bool {
	views := g.endpoints.State(now).Endpoints
	for _, v := range views {
		if !v.Down {
			return false
		}
	}
	return len(views) > 0
}
