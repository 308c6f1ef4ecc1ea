package standin

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
)

// ServiceFaults are the faults of the order-and-stock stand-in.
type ServiceFaults struct {
	Down             bool // Every connection is closed without a response.
	SlowMilliseconds int  // Delay of every response.
	LoseAnswers      int  // Number of following calls whose responses are lost after the call ran.
	Leaving          bool // Load reports announce that the service is leaving.
}

// Service is the order-and-stock stand-in; it counts how often each call ran.
type Service struct {
	faults Var[ServiceFaults]

	mu      sync.Mutex
	runs    map[string]int // Guarded by mu; keyed by path and body.
	running int            // Guarded by mu; calls in flight.
}

// Handle serves one request.
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
	n, lost := s.startRun(string(ctx.Path()) + " " + string(ctx.PostBody()))
	defer s.endRun()
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

// startRun counts a run of a call and reports how often it ran and whether its response is lost.
func (s *Service) startRun(call string) (n int, lost bool) {
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

func (s *Service) endRun() {
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

// Runs returns how often each call ran, keyed by path and body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for call, n := range s.runs {
		runs[call] = n
	}
	return runs
}

// Faults returns the active faults.
func (s *Service) Faults() ServiceFaults { return s.faults.Get() }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) { s.faults.Set(f) }
