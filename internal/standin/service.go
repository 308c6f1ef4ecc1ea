package standin

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
)

// ServiceFaults are the faults of the order-and-stock stand-in.
type ServiceFaults struct {
	Down             bool // Every connection is closed without an answer.
	SlowMilliseconds int
	LoseAnswers      int // The answers of this many next calls are lost after the call ran.
	Leaving          bool
}

// Service is the order-and-stock stand-in; it counts the runs of each call body.
type Service struct {
	faults Switch[ServiceFaults]

	mu      sync.Mutex
	runs    map[string]int // Guarded by mu; by path and body.
	running int            // Guarded by mu.
}

// Handle serves one call.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case FaultsPath:
		s.faults.Serve(ctx)
	case "/Counts":
		WriteJSON(ctx, s.Runs())
	case chat.LoadPath:
		WriteJSON(ctx, s.load())
	default:
		s.call(ctx)
	}
}

func (s *Service) call(ctx *fasthttp.RequestCtx) {
	faults := s.Faults()
	if faults.Down {
		BreakConnection(ctx)
		return
	}
	n, lost := s.run(string(ctx.Path()) + " " + string(ctx.PostBody()))
	defer s.end()
	time.Sleep(time.Duration(faults.SlowMilliseconds) * time.Millisecond)
	if lost {
		BreakConnection(ctx)
		return
	}
	WriteJSON(ctx, struct {
		Path string
		Run  int
	}{string(ctx.Path()), n})
}

func (s *Service) run(call string) (n int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[call]++
	s.running++
	s.faults.Update(func(f *ServiceFaults) {
		lost = f.LoseAnswers > 0
		f.LoseAnswers = max(0, f.LoseAnswers-1)
	})
	return s.runs[call], lost
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) load() chat.LoadReport {
	leaving := s.Faults().Leaving
	s.mu.Lock()
	defer s.mu.Unlock()
	return chat.LoadReport{Running: s.running, Leaving: leaving}
}

// Runs returns how often each call ran, by path and body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for call, n := range s.runs {
		runs[call] = n
	}
	return runs
}

// Faults returns the faults in force.
func (s *Service) Faults() ServiceFaults { return s.faults.Get() }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) { s.faults.Set(f) }
