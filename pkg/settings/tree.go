package settings

import "cmp"

// Tree is the complete settings. The names of its fields are the keys in TOML.
type Tree struct {
	Fleet Fleet
	Teams []Team `validate:"dive"`
}

// Fleet is the part of the settings that all teams share.
type Fleet struct {
	Name        string `validate:"required"`
	PeerKey     string `validate:"min=16"`                                  // Secret that all routers share; never logged.
	AdminSHA256 string `validate:"sha256hex"`                               // Hash of the operators' key, in hexadecimal.
	Weighs      string `validate:"omitempty,oneof=Overspend FalseRefusals"` // The error that costs the operators more; see EffectiveLimits.

	Store       Store
	VMList      VMList
	DataCentres []string   `validate:"min=1,unique,dive,required"`
	VMs         []VM       `validate:"min=1,unique=Name,dive"`
	Endpoints   []Endpoint `validate:"unique=Name,dive"`
	Services    []Service  `validate:"unique=Name,dive"`
	Limits      Limits
}

// Store configures the access to the platform's store; the rates are limits for one router.
type Store struct {
	Address             string `validate:"omitempty,hostname_port"`
	TimeoutMilliseconds int    `validate:"min=0,max=60000"`
	WritesPerSecond     int    `validate:"min=0"`
	ReadsPerSecond      int    `validate:"min=0"`
}

// VMList is the address of the platform's list of live and leaving VMs.
type VMList struct {
	Address string `validate:"omitempty,hostname_port"`
}

// VM is one machine that runs a router.
type VM struct {
	Name       string  `validate:"required"`
	DataCentre string  `validate:"required"`
	Address    string  `validate:"hostname_port"`
	Size       float64 `validate:"gt=0"` // Capacity relative to other VMs.
}

// Endpoint is one back end.
type Endpoint struct {
	Name                  string   `validate:"required"`
	DataCentre            string   `validate:"required"`
	Address               string   `validate:"hostname_port"`
	Serves                []string `validate:"min=1,dive,required"` // Names of models or services.
	Slots                 int      `validate:"min=1,max=4096"`      // Maximum number of requests that run at once.
	TokensPerSecond       float64  `validate:"min=0"`               // Expected output rate of one stream.
	PromptTokensPerSecond float64  `validate:"min=0"`               // Expected prompt processing rate.
	ChecksFencing         bool     // Whether the endpoint refuses orders with an outdated fencing token.
	Leaving               bool     // Whether the endpoint is being removed and gets no new requests.
}

// Service is a plain service, as opposed to a model.
type Service struct {
	Name  string `validate:"required"`
	Calls []Call `validate:"min=1,unique=Name,dive"`
}

// Call is one operation of a service.
type Call struct {
	Name       string `validate:"required"`
	Path       string `validate:"startswith=/"`
	Repeatable bool   // Whether the call is idempotent.
}

// Limits bounds requests, waiting times and the load of a router; zero fields take the defaults.
type Limits struct {
	BodyBytes             int   `validate:"min=0,max=16777216"`
	OutputTokens          int64 `validate:"min=0,max=1000000"`  // Maximum for one request.
	FirstTokenSeconds     int   `validate:"min=0,max=3600"`     // Default timeout for the first token.
	AnswerSeconds         int   `validate:"min=0,max=86400"`    // Maximum duration of an answer.
	StallSeconds          int   `validate:"min=0,max=3600"`     // Longest pause of an endpoint within an answer.
	EntryKeepSeconds      int   `validate:"min=0,max=3600"`     // Time for which callers may cache an entry list.
	GrantHorizonSeconds   int   `validate:"min=0,max=3600"`     // Seconds of demand that a budget grant covers.
	CeilingStepSeconds    int   `validate:"min=0,max=3600"`     // Seconds of demand that a router may serve before an acknowledgement.
	ConcurrentRequests    int   `validate:"min=0,max=100000"`   // Maximum for one router.
	OrderRetentionSeconds int   `validate:"min=0,max=31536000"` // Time for which the outcome of an order is kept.
}

// Team is one team's subtree.
type Team struct {
	Name     string    `validate:"required,excludesall=/"`
	Budget   string    `validate:"required,excludesall=/"`
	Class    string    `validate:"omitempty,oneof=Interactive Standard Batch"`
	Accounts []Account `validate:"unique=Name,dive"`
	Levels   Levels
}

// Account is one client account of a team.
type Account struct {
	Name      string  `validate:"required"`
	KeySHA256 string  `validate:"sha256hex"` // Hash of the account's API key, in hexadecimal.
	Weight    float64 `validate:"min=0"`     // Share of capacity relative to other waiting accounts; zero means 1.
	Class     string  `validate:"omitempty,oneof=Interactive Standard Batch"`
}

// Levels are a team's service-level objectives; zero fields take the defaults.
type Levels struct {
	FirstTokenMilliseconds    int     `validate:"min=0"`
	BetweenTokensMilliseconds int     `validate:"min=0"`
	TargetPercent             float64 `validate:"min=0,max=100"` // Percentage of requests that must meet each level.
}

// Defaults of Limits and Levels.
const (
	DefaultBodyBytes             = 1 << 20
	DefaultOutputTokens          = 1024
	DefaultFirstTokenSeconds     = 10
	DefaultAnswerSeconds         = 300
	DefaultStallSeconds          = 20
	DefaultEntryKeepSeconds      = 5
	DefaultGrantHorizonSeconds   = 180
	DefaultCeilingStepSeconds    = 5
	LongCeilingStepSeconds       = 60 // Default of CeilingStepSeconds if Fleet.Weighs is FalseRefusals.
	DefaultConcurrentRequests    = 4096
	DefaultOrderRetentionSeconds = 72 * 3600
	DefaultFirstTokenMillis      = 1700
	DefaultBetweenTokensMillis   = 68
	DefaultTargetPercent         = 95
)

// WithDefaults returns l with its zero fields set to the defaults.
func (l Limits) WithDefaults() Limits {
	l.BodyBytes = cmp.Or(l.BodyBytes, DefaultBodyBytes)
	l.OutputTokens = cmp.Or(l.OutputTokens, DefaultOutputTokens)
	l.FirstTokenSeconds = cmp.Or(l.FirstTokenSeconds, DefaultFirstTokenSeconds)
	l.AnswerSeconds = cmp.Or(l.AnswerSeconds, DefaultAnswerSeconds)
	l.StallSeconds = cmp.Or(l.StallSeconds, DefaultStallSeconds)
	l.EntryKeepSeconds = cmp.Or(l.EntryKeepSeconds, DefaultEntryKeepSeconds)
	l.GrantHorizonSeconds = cmp.Or(l.GrantHorizonSeconds, DefaultGrantHorizonSeconds)
	l.CeilingStepSeconds = cmp.Or(l.CeilingStepSeconds, DefaultCeilingStepSeconds)
	l.ConcurrentRequests = cmp.Or(l.ConcurrentRequests, DefaultConcurrentRequests)
	l.OrderRetentionSeconds = cmp.Or(l.OrderRetentionSeconds, DefaultOrderRetentionSeconds)
	return l
}

// WithDefaults returns l with its zero fields set to the defaults.
func (l Levels) WithDefaults() Levels {
	l.FirstTokenMilliseconds = cmp.Or(l.FirstTokenMilliseconds, DefaultFirstTokenMillis)
	l.BetweenTokensMilliseconds = cmp.Or(l.BetweenTokensMilliseconds, DefaultBetweenTokensMillis)
	l.TargetPercent = cmp.Or(l.TargetPercent, DefaultTargetPercent)
	return l
}

// weighsFalseRefusals is the value of Fleet.Weighs if falsely refused requests cost more than stranded tokens.
//
// Stranded tokens are those of a budget that a failed router holds, so that no other router can use them.
const weighsFalseRefusals = "FalseRefusals"

// EffectiveLimits returns the limits with zero fields set to the defaults for the value of Weighs.
func (f Fleet) EffectiveLimits() Limits {
	l := f.Limits
	if f.Weighs == weighsFalseRefusals {
		l.CeilingStepSeconds = cmp.Or(l.CeilingStepSeconds, LongCeilingStepSeconds)
	}
	return l.WithDefaults()
}

// VM returns the VM with the given name.
func (f Fleet) VM(name string) (VM, bool) {
	for _, vm := range f.VMs {
		if vm.Name == name {
			return vm, true
		}
	}
	return VM{}, false
}

// Call returns the call with the given name of the service with the given name.
func (f Fleet) Call(service, call string) (Call, bool) {
	for _, s := range f.Services {
		if s.Name != service {
			continue
		}
		for _, c := range s.Calls {
			if c.Name == call {
				return c, true
			}
		}
	}
	return Call{}, false
}

// Team returns the team with the given name.
func (t Tree) Team(name string) (Team, bool) {
	for _, team := range t.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}
