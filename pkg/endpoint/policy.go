package endpoint

import "time"

// Policy tunes a Pool; zero fields take the defaults.
type Policy struct {
	Seed          uint64        // Of the tie breaks.
	ReportLag     time.Duration // Between an endpoint's count and its arrival here.
	OutputWeight  float64       // Of the output time beside the time to the first token.
	MaxAttempts   int           // Sends of one request.
	RetryRatio    float64       // Retries earned by each finished request.
	RetryReserve  float64       // Largest number of retries saved up.
	DownFor       time.Duration // First pause of an endpoint that died; doubles with each further death.
	MaxDownFor    time.Duration
	SuspectFor    time.Duration // Time for which a request stays suspect.
	ReportTrust   time.Duration // Age at which a load report counts for half.
	MaxQueue      int           // Requests that wait at most.
	CacheBenefit  float64       // Part of the prompt time that a cached prefix saves.
	SlotTolerance float64       // Part of an endpoint's slots that may be filled by requests it must queue itself.
}

// Defaults of a Policy.
const (
	DefaultMaxAttempts  = 3
	DefaultOutputWeight = 0.05
	DefaultReportLag    = time.Second
	DefaultRetryRatio   = 0.1
	DefaultRetryReserve = 10
	DefaultDownFor      = time.Second
	DefaultMaxDownFor   = 30 * time.Second
	DefaultSuspectFor   = 10 * time.Minute
	DefaultReportTrust  = 2 * time.Second
	DefaultMaxQueue     = 4096
	DefaultCacheBenefit = 0.8
)

func (p Policy) withDefaults() Policy {
	orFloat(&p.OutputWeight, DefaultOutputWeight)
	orInt(&p.MaxAttempts, DefaultMaxAttempts)
	orInt(&p.MaxQueue, DefaultMaxQueue)
	orFloat(&p.RetryRatio, DefaultRetryRatio)
	orFloat(&p.RetryReserve, DefaultRetryReserve)
	orFloat(&p.CacheBenefit, DefaultCacheBenefit)
	orDuration(&p.ReportLag, DefaultReportLag)
	orDuration(&p.DownFor, DefaultDownFor)
	orDuration(&p.MaxDownFor, DefaultMaxDownFor)
	orDuration(&p.SuspectFor, DefaultSuspectFor)
	orDuration(&p.ReportTrust, DefaultReportTrust)
	return p
}

func orInt(n *int, otherwise int) {
	if *n <= 0 {
		*n = otherwise
	}
}

func orFloat(f *float64, otherwise float64) {
	if *f <= 0 {
		*f = otherwise
	}
}

func orDuration(d *time.Duration, otherwise time.Duration) {
	if *d <= 0 {
		*d = otherwise
	}
}
