package endpoint

import (
	"cmp"
	"time"
)

// Policy tunes a Pool; zero fields take the defaults.
type Policy struct {
	Seed          uint64        // Of the tie breaks.
	ReportLag     time.Duration // Between an endpoint's count and its arrival here.
	OutputWeight  float64       // Of the output time beside the time to the first token.
	LoadWeight    float64       // Seconds that a fully loaded endpoint counts for more than an idle one.
	FailureWeight float64       // Seconds that an endpoint whose attempts all fail counts for more than one whose attempts do not.
	MaxAttempts   int           // Attempts of one request.
	RetryRatio    float64       // Retries earned by each finished request.
	RetryReserve  float64       // Largest number of retries saved up.
	FleetReserve  float64       // Retries that all routers together may make in RetryWindow beyond the ratio; each has its part. Zero leaves RetryReserve alone.
	RetryWindow   time.Duration // Of FleetReserve.
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
	DefaultMaxAttempts   = 3
	DefaultOutputWeight  = 0.05
	DefaultLoadWeight    = 0.02
	DefaultFailureWeight = 0.1
	DefaultReportLag     = time.Second
	DefaultRetryRatio    = 0.1
	DefaultRetryWindow   = 10 * time.Second
	DefaultRetryReserve  = 10
	DefaultDownFor       = time.Second
	DefaultMaxDownFor    = 30 * time.Second
	DefaultSuspectFor    = 10 * time.Minute
	DefaultReportTrust   = 2 * time.Second
	DefaultMaxQueue      = 4096
	DefaultCacheBenefit  = 0.8
)

func (p Policy) withDefaults() Policy {
	p.ReportLag = cmp.Or(p.ReportLag, DefaultReportLag)
	p.OutputWeight = cmp.Or(p.OutputWeight, DefaultOutputWeight)
	p.LoadWeight = cmp.Or(p.LoadWeight, DefaultLoadWeight)
	p.FailureWeight = cmp.Or(p.FailureWeight, DefaultFailureWeight)
	p.MaxAttempts = cmp.Or(p.MaxAttempts, DefaultMaxAttempts)
	p.RetryRatio = cmp.Or(p.RetryRatio, DefaultRetryRatio)
	p.RetryWindow = cmp.Or(p.RetryWindow, DefaultRetryWindow)
	p.RetryReserve = cmp.Or(p.RetryReserve, DefaultRetryReserve)
	p.DownFor = cmp.Or(p.DownFor, DefaultDownFor)
	p.MaxDownFor = cmp.Or(p.MaxDownFor, DefaultMaxDownFor)
	p.SuspectFor = cmp.Or(p.SuspectFor, DefaultSuspectFor)
	p.ReportTrust = cmp.Or(p.ReportTrust, DefaultReportTrust)
	p.MaxQueue = cmp.Or(p.MaxQueue, DefaultMaxQueue)
	p.CacheBenefit = cmp.Or(p.CacheBenefit, DefaultCacheBenefit)
	return p
}
