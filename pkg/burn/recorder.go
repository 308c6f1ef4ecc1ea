package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Level names a service level.
type Level string

// The service levels.
const (
	FirstToken      Level = "FirstToken"      // The first token came in time.
	BetweenTokens   Level = "BetweenTokens"   // The mean time between tokens was met.
	Success         Level = "Success"         // The request was answered in whole.
	TruthfulRefusal Level = "TruthfulRefusal" // A refusal that said NotRun was true.
	FalseRefusal    Level = "FalseRefusal"    // A request was not refused for want of tokens while the budget had them.
)

// The windows of a report.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
	bucketTime  = time.Minute
	buckets     = int(LongWindow / bucketTime)
)

// Counts are events that met a level and events that did not.
type Counts struct {
	Good int64
	Bad  int64
}

// Add returns the sum of c and other.
func (c Counts) Add(other Counts) Counts {
	return Counts{c.Good + other.Good, c.Bad + other.Bad}
}

// Total returns the number of events.
func (c Counts) Total() int64 { return c.Good + c.Bad }

// Series identifies what is counted.
type Series struct {
	Team    string
	Service string
	Level   Level
}

// Row is the state of one series on one router or, merged, on all.
type Row struct {
	Series

	TargetPercent float64
	Short         Counts
	Long          Counts
}

// Rate returns the burn rate of c for the row's target.
func (r Row) Rate(c Counts) float64 {
	total := c.Total()
	allowed := 1 - r.TargetPercent/100
	if total == 0 {
		return 0
	}
	share := float64(c.Bad) / float64(total)
	if allowed <= 0 {
		allowed = 1e-6 // A target of 100 percent: any bad event burns at a million times the rate.
	}
	return share / allowed
}

// BudgetLeft returns the share of the long window's error budget that is left; it is negative when overspent.
func (r Row) BudgetLeft() float64 { return 1 - r.Rate(r.Long) }

// Recorder counts events; its zero value is empty. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	series map[Series]*ring // Guarded by mu.
}

// ring holds one bucket a minute; minute tells which minute a bucket counts.
type ring struct {
	target float64
	counts [buckets]Counts
	minute [buckets]int64
}

// Note counts one event at time now.
func (r *Recorder) Note(now time.Time, s Series, targetPercent float64, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.series == nil {
		r.series = map[Series]*ring{}
	}
	ring, ok := r.series[s]
	if !ok {
		ring = newRing()
		r.series[s] = ring
	}
	ring.target = targetPercent
	ring.note(now.Unix()/int64(bucketTime/time.Second), good)
}

func newRing() *ring {
	r := &ring{}
	for i := range r.minute {
		r.minute[i] = -1
	}
	return r
}

func (r *ring) note(minute int64, good bool) {
	i := minute % int64(buckets)
	if r.minute[i] != minute {
		r.minute[i] = minute
		r.counts[i] = Counts{}
	}
	if good {
		r.counts[i].Good++
		return
	}
	r.counts[i].Bad++
}

func (r *ring) sum(minute int64, window time.Duration) Counts {
	var sum Counts
	oldest := minute - int64(window/bucketTime)
	for i := range r.minute {
		if r.minute[i] > oldest && r.minute[i] <= minute {
			sum = sum.Add(r.counts[i])
		}
	}
	return sum
}

// Rows returns the state of all series at time now, sorted.
func (r *Recorder) Rows(now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	minute := now.Unix() / int64(bucketTime/time.Second)
	rows := make([]Row, 0, len(r.series))
	for s, ring := range r.series {
		rows = append(rows, Row{s, ring.target, ring.sum(minute, ShortWindow), ring.sum(minute, LongWindow)})
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Level, b.Level))
	})
}
