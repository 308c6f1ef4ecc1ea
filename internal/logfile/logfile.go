package logfile

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of the volume.
const (
	linesPerSecond = 400     // Of one event.
	bufferBytes    = 1 << 20 // Lines that wait for the writer.
	flushEvery     = 250 * time.Millisecond
)

// New returns a logger that writes to out and a function that writes what still waits.
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
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0, zapcore.SamplerHook(w.sampled))
	return zap.New(sampled), w.close
}

// Problem returns the field of an error, without the stack trace that it may carry; nil leaves the field out.
func Problem(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("Error", err.Error())
}

// writer hands lines to a goroutine that may block.
type writer struct {
	out     io.Writer
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	buffer []byte // Guarded by mu.
	spare  []byte // Guarded by mu.
	closed bool   // Guarded by mu.
}

func (w *writer) sampled(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		w.dropped.Add(1)
	}
}

// Write takes a line; it is dropped when too many wait.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > bufferBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Sync does nothing: the goroutine writes soon.
func (w *writer) Sync() error { return nil }

func (w *writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushEvery)
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

// flush writes what waits and reports whether the writer was closed.
func (w *writer) flush() bool {
	w.mu.Lock()
	lines := w.buffer
	w.buffer = w.spare[:0]
	closed := w.closed
	w.mu.Unlock()
	if n := w.dropped.Swap(0); n > 0 {
		lines = fmt.Appendf(lines, "{\"Level\":\"warn\",\"Event\":\"lines dropped\",\"Lines\":%d}\n", n)
	}
	if len(lines) > 0 {
		// Nothing is left to report an error of the log's own output to.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
	return closed
}

func (w *writer) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wake <- struct{}{}
	<-w.done
}
