package logfile

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits on the volume of log lines, and the interval at which they are written.
const (
	maxLinesPerSecond = 400     // Per event and level.
	maxBufferBytes    = 1 << 20 // Total size of the lines that are not yet written.
	flushInterval     = 250 * time.Millisecond
	maxWriteBytes     = 4 << 10 // Of one write, unless a line is longer; collectors of output may cut off longer ones.
)

// New returns a logger that writes to out, and a function that stops the logger after writing all buffered lines.
//
// The function must be called at most once.
func New(out io.Writer) (*zap.Logger, func()) {
	w := &writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey = "Time"
	encoder.LevelKey = "Level"
	encoder.MessageKey = "Event"
	encoder.CallerKey = ""
	encoder.StacktraceKey = ""
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	encoder.EncodeTime = func(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
		enc.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, zapcore.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerSecond, 0, zapcore.SamplerHook(w.countDropped))
	return zap.New(sampled), w.close
}

// Error returns the log field of an error, without the stack trace that the error may carry. A nil error adds no field.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("Error", err.Error())
}

// writer buffers lines for a goroutine that writes them to out, so that only this goroutine may block.
type writer struct {
	out     io.Writer
	wake    chan struct{} // Triggers a flush before the next flushInterval.
	done    chan struct{} // Closed when run has returned.
	dropped atomic.Int64  // Lines dropped since the last flush.

	mu     sync.Mutex
	buffer []byte // Lines that are not yet written; guarded by mu.
	spare  []byte // Memory of the last flushed buffer, for reuse; guarded by mu.
	closed bool   // Guarded by mu.
}

// countDropped counts the lines that the sampler drops.
func (w *writer) countDropped(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		w.dropped.Add(1)
	}
}

// Write buffers a line, or drops it if the buffer is full. It never fails.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Sync does nothing, because run writes the buffered lines within flushInterval.
func (w *writer) Sync() error { return nil }

// run flushes the buffer every flushInterval until the writer is closed.
func (w *writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-w.wake:
		}
		if w.flush() {
			return
		}
	}
}

// flush writes the buffered lines and reports whether the writer is closed. Only run calls it.
func (w *writer) flush() bool {
	w.mu.Lock()
	lines := w.buffer
	w.buffer = w.spare[:0]
	closed := w.closed
	w.mu.Unlock()
	if n := w.dropped.Swap(0); n > 0 {
		lines = fmt.Appendf(lines, "{\"Level\":\"warn\",\"Event\":\"lines dropped\",\"Lines\":%d}\n", n)
	}
	for rest := lines; len(rest) > 0; {
		n := wholeLines(rest)
		// An error is ignored, because there is no other output to report it to.
		_, _ = w.out.Write(rest[:n])
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
	return closed
}

// wholeLines returns the length of the first lines of a buffer that fit into one write, at least one line.
func wholeLines(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// close writes the remaining lines and waits until run has returned.
func (w *writer) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wake <- struct{}{}
	<-w.done
}
