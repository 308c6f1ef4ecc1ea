package endpoint

import (
	"cmp"
	"time"
)

// Policy holds the parameters of a Pool. Zero fields take the defaults.
type Policy struct {
	Seed              uint64        // Seed of the random tie-breaking.
	ReportLag         time.Duration // Estimated age of a load report on arrival.
	OutputWeight      float64       // Weight of the output time, relative to the time to the first token.
	LoadWeight        float64       // Penalty in seconds of a fully loaded endpoint over an idle one.
	FailureWeight     float64       // Penalty in seconds of an endpoint whose attempts all fail over one without failures.
	MaxAttempts       int           // Maximum number of attempts of one request, not counting rejected ones.
	RetryRatio        float64       // Retries that each request earns within RetryWindow, for its service.
	RetryReserve      float64       // Retries for each service beyond RetryRatio that this router may make within RetryWindow, if FleetRetryReserve is zero.
	FleetRetryReserve float64       // Retries for each service beyond RetryRatio that all routers together may make within RetryWindow, shared equally. Zero means that RetryReserve applies instead.
	RetryWindow       time.Duration // Period to which RetryRatio and the reserves apply; any span of that length counts.
	BaseEjectionTime  time.Duration // Ejection time after a rejected attempt and after the first death or silence; doubles with each further one.
	MaxEjectionTime   time.Duration // Limit of the ejection time.
	SuspicionTTL      time.Duration // How long a request remains a suspect.
	ReportHalfLife    time.Duration // Age up to which a load report has full weight; its weight halves with each further ReportHalfLife.
	MaxQueue          int           // Maximum number of waiting requests.
	CacheBenefit      float64       // Fraction of the prompt time that a cached prefix saves.
	ColdExcess        float64       // Requests within a second that all routers together may send to a cold endpoint, as a multiple of its ColdRate.
	ColdSlack         float64       // Requests beyond ColdExcess that a cold endpoint bears within a second.
	SlotTolerance     float64       // Requests beyond the slots of an endpoint, as a fraction of the slots, that may be sent to it and that it queues itself.
}

// Defaults of the fields of Policy.
const (
	DefaultMaxAttempts      = 3
	DefaultOutputWeight     = 0.05
	DefaultLoadWeight       = 0.02
	DefaultFailureWeight    = 0.1
	DefaultReportLag        = time.Second
	DefaultRetryRatio       = 0.1
	DefaultRetryWindow      = 10 * time.Second
	DefaultRetryReserve     = 10
	DefaultBaseEjectionTime = time.Second
	DefaultMaxEjectionTime  = 30 * time.Second
	DefaultSuspicionTTL     = 10 * time.Minute
	DefaultReportHalfLife   = 2 * time.Second
	DefaultMaxQueue         = 4096
	DefaultCacheBenefit     = 0.8
	DefaultColdExcess       = 1
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
	p.BaseEjectionTime = cmp.Or(p.BaseEjectionTime, DefaultBaseEjectionTime)
	p.MaxEjectionTime = cmp.Or(p.MaxEjectionTime, DefaultMaxEjectionTime)
	p.SuspicionTTL = cmp.Or(p.SuspicionTTL, DefaultSuspicionTTL)
	p.ReportHalfLife = cmp.Or(p.ReportHalfLife, DefaultReportHalfLife)
	p.MaxQueue = cmp.Or(p.MaxQueue, DefaultMaxQueue)
	p.CacheBenefit = cmp.Or(p.CacheBenefit, DefaultCacheBenefit)
	p.ColdExcess = cmp.Or(p.ColdExcess, DefaultColdExcess)
	return p
}
