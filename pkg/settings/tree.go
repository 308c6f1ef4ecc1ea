package settings

import "cmp"

// Tree is the whole of the settings; its fields are the names used in TOML.
type Tree struct {
	Fleet Fleet
	Teams []Team `validate:"dive"`
}

// Fleet is the part of the settings that all teams share.
type Fleet struct {
	Name        string `validate:"required"`
	PeerKey     string `validate:"min=16"`                                  // Shared by the routers; never logged.
	AdminSHA256 string `validate:"sha256hex"`                               // Hash of the operators' key, in hexadecimal.
	Weighs      string `validate:"omitempty,oneof=Overspend FalseRefusals"` // What the operators weigh more heavily.

	Store       Store
	VMList      VMList
	DataCentres []string   `validate:"min=1,unique,dive,required"`
	VMs         []VM       `validate:"min=1,unique=Name,dive"`
	Endpoints   []Endpoint `validate:"unique=Name,dive"`
	Services    []Service  `validate:"unique=Name,dive"`
	Limits      Limits
}

// Store says where the platform's store is and how hard one router may use it.
type Store struct {
	Address             string `validate:"omitempty,hostname_port"`
	TimeoutMilliseconds int    `validate:"min=0,max=60000"`
	WritesPerSecond     int    `validate:"min=0"`
	ReadsPerSecond      int    `validate:"min=0"`
}

// VMList says where the platform's list of live and leaving VMs is.
type VMList struct {
	Address string `validate:"omitempty,hostname_port"`
}

// VM is one entry VM.
type VM struct {
	Name       string  `validate:"required"`
	DataCentre string  `validate:"required"`
	Address    string  `validate:"hostname_port"`
	Size       float64 `validate:"gt=0"` // Relative capacity.
}

// Endpoint is one back end.
type Endpoint struct {
	Name                  string   `validate:"required"`
	DataCentre            string   `validate:"required"`
	Address               string   `validate:"hostname_port"`
	Serves                []string `validate:"min=1,dive,required"` // Models or services.
	Slots                 int      `validate:"min=1,max=4096"`
	TokensPerSecond       float64  `validate:"min=0"` // Expected speed of one stream.
	PromptTokensPerSecond float64  `validate:"min=0"`
	ChecksFencing         bool     // The endpoint refuses orders with an old fencing number.
	Leaving               bool     // The endpoint gets no new work.
}

// Service is a plain service beside the model engines.
type Service struct {
	Name  string `validate:"required"`
	Calls []Call `validate:"min=1,unique=Name,dive"`
}

// Call is one operation of a service.
type Call struct {
	Name       string `validate:"required"`
	Path       string `validate:"startswith=/"`
	Repeatable bool   // Running it twice does no harm.
}

// Limits bounds what callers may send and how long they wait; zero fields take the defaults.
type Limits struct {
	BodyBytes             int   `validate:"min=0,max=16777216"`
	OutputTokens          int64 `validate:"min=0,max=1000000"` // Of one request.
	FirstTokenSeconds     int   `validate:"min=0,max=3600"`    // Default deadline for the first token.
	AnswerSeconds         int   `validate:"min=0,max=86400"`   // Longest answer.
	StallSeconds          int   `validate:"min=0,max=3600"`    // Longest silence of an endpoint within an answer.
	EntryKeepSeconds      int   `validate:"min=0,max=3600"`    // Lifetime of an entry list.
	GrantHorizonSeconds   int   `validate:"min=0,max=3600"`    // Demand that a budget grant covers.
	CeilingStepSeconds    int   `validate:"min=0,max=3600"`    // Demand that a router may serve without acknowledgement.
	ConcurrentRequests    int   `validate:"min=0,max=100000"`  // Of one router.
	OrderRetentionSeconds int   `validate:"min=0,max=31536000"`
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
	Weight    float64 `validate:"min=0"`     // Share among the accounts that wait; zero means 1.
	Class     string  `validate:"omitempty,oneof=Interactive Standard Batch"`
}

// Levels are a team's service-level objectives; zero fields take the defaults.
type Levels struct {
	FirstTokenMilliseconds    int     `validate:"min=0"`
	BetweenTokensMilliseconds int     `validate:"min=0"`
	TargetPercent             float64 `validate:"min=0,max=100"` // Share of requests that must meet each level.
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
	LongCeilingStepSeconds       = 60 // Where false refusals weigh more.
	DefaultConcurrentRequests    = 4096
	DefaultOrderRetentionSeconds = 72 * 3600
	DefaultFirstTokenMillis      = 1700
	DefaultBetweenTokensMillis   = 68
	DefaultTargetPercent         = 95
)

// WithDefaults returns l with its zero fields filled in.
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

// WithDefaults returns l with its zero fields filled in.
func (l Levels) WithDefaults() Levels {
	l.FirstTokenMilliseconds = cmp.Or(l.FirstTokenMilliseconds, DefaultFirstTokenMillis)
	l.BetweenTokensMilliseconds = cmp.Or(l.BetweenTokensMilliseconds, DefaultBetweenTokensMillis)
	l.TargetPercent = cmp.Or(l.TargetPercent, DefaultTargetPercent)
	return l
}

// weighsFalseRefusals is the value of Fleet.Weighs of operators who would rather strand more tokens than refuse more.
const weighsFalseRefusals = "FalseRefusals"

// EffectiveLimits returns the limits with zero fields filled in, by what the operators weigh more.
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

// Call returns a call of a service.
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
