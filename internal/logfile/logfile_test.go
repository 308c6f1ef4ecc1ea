package logfile

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func TestLinesAreJSONWithoutStackTraces(t *testing.T) {
	var out bytes.Buffer
	log, flush := New(&out)
	log.Info("refused", zap.String("Request", "r1"), Problem(errors.New("no room")), Problem(nil))
	flush()
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "refused", line["Event"])
	require.Equal(t, "no room", line["Error"])
	require.Len(t, line, 5, "Time, Level, Event, Request, Error")
}

// stuck blocks its first writer until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestASlowReaderDoesNotBlockAndLosesCountedLines(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	log, flush := New(out)
	text := strings.Repeat("x", 10000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 500 {
			// A field of its own makes each event another one for the rate.
			log.Info("event "+string(rune('a'+i%20)), zap.String("Text", text))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for the reader")
	}
	close(out.release)
	flush()
	require.Contains(t, out.out.String(), "lines dropped")
}

func TestOneEventIsBoundedInASecond(t *testing.T) {
	var out bytes.Buffer
	log, flush := New(&out)
	for range 3 * linesPerSecond {
		log.Info("often")
	}
	flush()
	require.LessOrEqual(t, strings.Count(out.String(), `"often"`), 2*linesPerSecond, "a second may end meanwhile")
	require.Contains(t, out.String(), "lines dropped")
}
