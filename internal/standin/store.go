package standin

import (
	"context"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// Rates of the store stand-in in calls a second.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// StoreFaults are the faults of the store stand-in.
type StoreFaults struct {
	Down             bool // Every connection is closed without an answer.
	SlowMilliseconds int  // Delay of every call.
	LoseWriteAnswers int  // The answers of this many next writes are lost after the write took effect.
}

// StoreCounts counts the calls that the store stand-in saw; a waiting watch counts as one.
type StoreCounts struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	Limited uint64
}

// Store serves a Memory over HTTP with faults, rates and counts.
type Store struct {
	Memory          keyvalue.Memory
	WritesPerSecond int // Zero takes the default.
	ReadsPerSecond  int // Zero takes the default.

	faults switched[StoreFaults]

	mu     sync.Mutex
	counts StoreCounts // Guarded by mu.
	second int64       // Guarded by mu; the second that reads and writes count in.
	reads  int         // Guarded by mu.
	writes int         // Guarded by mu.
}

// Handle serves one call.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case FaultsPath:
		s.faults.serve(ctx)
		return
	case "/Counts":
		writeJSON(ctx, s.Counts())
		return
	}
	faults := s.Faults()
	if faults.Down {
		breakConnection(ctx)
		return
	}
	time.Sleep(time.Duration(faults.SlowMilliseconds) * time.Millisecond)
	if !s.admit(time.Now(), ctx.IsPut(), path == keyvalue.WatchPath) {
		ctx.Error("rate limit", fasthttp.StatusTooManyRequests)
		return
	}
	s.route(ctx, path)
}

func (s *Store) route(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == keyvalue.WatchPath:
		s.watch(ctx)
	case path == keyvalue.ListPath:
		entries, err := s.Memory.List(ctx, string(ctx.QueryArgs().Peek("Prefix")))
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		writeJSON(ctx, entries)
	case strings.HasPrefix(path, keyvalue.KeysPath) && ctx.IsPut():
		s.put(ctx, keyOf(ctx))
	case strings.HasPrefix(path, keyvalue.KeysPath):
		entry, _ := s.Memory.Get(ctx, keyOf(ctx))
		writeEntry(ctx, entry)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func keyOf(ctx *fasthttp.RequestCtx) string {
	raw := strings.TrimPrefix(string(ctx.URI().PathOriginal()), keyvalue.KeysPath)
	key, err := url.PathUnescape(raw)
	if err != nil {
		return raw
	}
	return key
}

func (s *Store) put(ctx *fasthttp.RequestCtx, key string) {
	put := keyvalue.Put{Key: key, Value: ctx.PostBody()}
	put.TTL = time.Duration(ctx.QueryArgs().GetUintOrZero("TTLMilliseconds")) * time.Millisecond
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) != "*" {
		version, err := keyvalue.ParseETag(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)))
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		put.IfVersion = version
	}
	written, err := s.Memory.Put(ctx, put)
	switch {
	case s.loseAnswer():
		breakConnection(ctx)
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusRequestEntityTooLarge)
	case written.Outcome != budget.TookEffect:
		ctx.Error("version conflict", fasthttp.StatusPreconditionFailed)
	default:
		ctx.Response.Header.Set(fasthttp.HeaderETag, keyvalue.ETag(written.Version))
	}
}

func (s *Store) watch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	wait := time.Duration(args.GetUintOrZero("WaitMilliseconds")) * time.Millisecond
	key := string(args.Peek("Key"))
	entry, _ := s.Memory.Watch(context.Background(), key, uint64(args.GetUintOrZero("After")), wait)
	writeEntry(ctx, entry)
}

func writeEntry(ctx *fasthttp.RequestCtx, entry keyvalue.Entry) {
	if entry.Version == 0 {
		ctx.Error("no such key", fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, keyvalue.ETag(entry.Version))
	ctx.SetBody(entry.Value)
}

func (s *Store) admit(now time.Time, write, watch bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Unix() != s.second {
		s.second = now.Unix()
		s.reads = 0
		s.writes = 0
	}
	switch {
	case write:
		s.counts.Writes++
		s.writes++
	case watch:
		s.counts.Watches++
		s.reads++
	default:
		s.counts.Reads++
		s.reads++
	}
	if s.writes > orDefault(s.WritesPerSecond, DefaultWritesPerSecond) || s.reads > orDefault(s.ReadsPerSecond, DefaultReadsPerSecond) {
		s.counts.Limited++
		return false
	}
	return true
}

func orDefault(n, otherwise int) int {
	if n <= 0 {
		return otherwise
	}
	return n
}

func (s *Store) loseAnswer() (lost bool) {
	s.faults.update(func(f *StoreFaults) {
		lost = f.LoseWriteAnswers > 0
		f.LoseWriteAnswers = max(0, f.LoseWriteAnswers-1)
	})
	return lost
}

// Faults returns the faults in force.
func (s *Store) Faults() StoreFaults { return s.faults.get() }

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) { s.faults.set(f) }

// Counts returns the calls seen so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
