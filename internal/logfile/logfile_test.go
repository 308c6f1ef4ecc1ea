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
	log.Info("refused", zap.String("Request", "r1"), Error(errors.New("no room")), Error(nil))
	flush()
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "refused", line["Event"])
	require.Equal(t, "no room", line["Error"])
	require.Len(t, line, 5, "Time, Level, Event, Request, Error")
}

// blockedWriter is an io.Writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func TestSlowOutputDropsLinesWithoutBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	log, flush := New(out)
	text := strings.Repeat("x", 10000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 500 {
			// Each of the 20 events stays below the limit for one event, so that only the size of the buffer is exceeded.
			log.Info("event "+string(rune('a'+i%20)), zap.String("Text", text))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks while the output does")
	}
	close(out.release)
	flush()
	require.Contains(t, out.out.String(), "lines dropped")
}

func TestLinesPerEventAreLimited(t *testing.T) {
	var out bytes.Buffer
	log, flush := New(&out)
	for range 3 * maxLinesPerSecond {
		log.Info("often")
	}
	flush()
	require.LessOrEqual(t, strings.Count(out.String(), `"often"`), 2*maxLinesPerSecond, "the loop may run into a second interval of the limit")
	require.Contains(t, out.String(), "lines dropped")
}

// cuttingWriter keeps what a collector would that cuts off each write after limit bytes.
type cuttingWriter struct {
	mu    sync.Mutex
	limit int
	kept  []byte
}

// Write implements io.Writer.
func (w *cuttingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kept = append(w.kept, p[:min(len(p), w.limit)]...)
	return len(p), nil
}

// TestNoLineIsLostWhereLongWritesAreCutOff guards against writing all lines of a flush at once: a collector that keeps
// 8 KB of each write lost most lines of a busy router.
func TestNoLineIsLostWhereLongWritesAreCutOff(t *testing.T) {
	const lines = 300
	out := &cuttingWriter{limit: 8 << 10}
	log, flush := New(out)
	for i := range lines {
		log.Info("decision", zap.Int("N", i), zap.String("Detail", strings.Repeat("x", 200)))
	}
	log.Info("long", zap.String("Detail", strings.Repeat("x", maxWriteBytes)))
	flush()
	require.Equal(t, lines+1, strings.Count(string(out.kept), "\n"))
	for line := range strings.Lines(string(out.kept)) {
		require.True(t, json.Valid([]byte(line)), line)
	}
}
