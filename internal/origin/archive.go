package origin

import (
	"context"
	"time"
)

// Archive finds the origins of young streams in a store that outlives all routers.
type Archive interface {
	// Find returns where a stream began and whether the archive knows it. An error proves nothing about the stream.
	Find(ctx context.Context, now time.Time, stream string) (o Origin, known bool, err error)
}
