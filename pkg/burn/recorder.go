package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Level is the name of a service level.
type Level string

// The service levels, each with the condition for a good event.
const (
	FirstToken      Level = "FirstToken"      // The first token arrived within its objective.
	BetweenTokens   Level = "BetweenTokens"   // The mean time between tokens was within its objective.
	Success         Level = "Success"         // The request was answered completely.
	TruthfulRefusal Level = "TruthfulRefusal" // A refusal that claimed NotRun was right: the request had not run.
	FalseRefusal    Level = "FalseRefusal"    // A refusal did not claim an exhausted budget while the budget had enough tokens.
)

// The windows of a report, and the buckets that cover the longer one.
const (
	ShortWindow    = 5 * time.Minute
	LongWindow     = time.Hour
	bucketDuration = time.Minute
	bucketCount    = int(LongWindow / bucketDuration)
)

// Counts holds numbers of events that met a level and that missed it.
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

// Series identifies the events that are counted together.
type Series struct {
	Team    string
	Service string
	Level   Level
}

// Row holds the counts of one series on one router or, after Merge, on all routers.
type Row struct {
	Series

	TargetPercent float64 // Percentage of events that must be good.
	Short         Counts  // Counts over ShortWindow.
	Long          Counts  // Counts over LongWindow.
}

// Rate returns the burn rate of c under the target of the row, or 0 if c has no events.
func (r Row) Rate(c Counts) float64 {
	total := c.Total()
	allowed := 1 - r.TargetPercent/100
	if total == 0 {
		return 0
	}
	share := float64(c.Bad) / float64(total)
	if allowed <= 0 {
		allowed = 1e-6 // With a target of 100 percent, the rate is a million times the share of bad events.
	}
	return share / allowed
}

// ErrorBudgetLeft returns the share of the error budget for LongWindow that is left; it is negative if overspent.
func (r Row) ErrorBudgetLeft() float64 { return 1 - r.Rate(r.Long) }

// Recorder counts events by series. Its zero value is empty. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	series map[Series]*ring // Guarded by mu.
}

// ring holds the counts of the last LongWindow in one bucket per minute.
type ring struct {
	targetPercent float64 // Target at the last event.
	counts        [bucketCount]Counts
	minutes       [bucketCount]int64 // Minute since the Unix epoch that each bucket counts; -1 if unused.
}

// Record counts one event at time now; the target of the series is that of its last event.
func (r *Recorder) Record(now time.Time, s Series, targetPercent float64, good bool) {
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
	ring.targetPercent = targetPercent
	ring.record(now.Unix()/int64(bucketDuration/time.Second), good)
}

func newRing() *ring {
	r := &ring{}
	for i := range r.minutes {
		r.minutes[i] = -1
	}
	return r
}

func (r *ring) record(minute int64, good bool) {
	i := minute % int64(bucketCount)
	if r.minutes[i] != minute {
		r.minutes[i] = minute
		r.counts[i] = Counts{}
	}
	if good {
		r.counts[i].Good++
		return
	}
	r.counts[i].Bad++
}

// sum returns the counts of the window that ends with the given minute.
func (r *ring) sum(minute int64, window time.Duration) Counts {
	var sum Counts
	oldest := minute - int64(window/bucketDuration)
	for i := range r.minutes {
		if r.minutes[i] > oldest && r.minutes[i] <= minute {
			sum = sum.Add(r.counts[i])
		}
	}
	return sum
}

// Rows returns the counts of all series at time now, sorted by team, service and level.
func (r *Recorder) Rows(now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	minute := now.Unix() / int64(bucketDuration/time.Second)
	rows := make([]Row, 0, len(r.series))
	for s, ring := range r.series {
		rows = append(rows, Row{s, ring.targetPercent, ring.sum(minute, ShortWindow), ring.sum(minute, LongWindow)})
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Level, b.Level))
	})
}
