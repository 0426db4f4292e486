package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs/v2"
)

// Experiment is a scenario of sliplift experiment run: a pool of engines, the
// trainers and callers that use it, and the policies to compare.
type Experiment struct {
	ExperimentPool     `group:"Pool"`
	ExperimentLengths  `group:"Lengths"`
	ExperimentTrainers `group:"Trainers"`
	ExperimentLive     `group:"Live"`
	ExperimentWeights  `group:"Weights"`
	ExperimentFaults   `group:"Faults"`
	Comparison         `group:"Comparison"`
}

// ExperimentPool holds the back ends and the network between them.
type ExperimentPool struct {
	Site             string        `long:"site" format:"name" mandatory:"yes" description:"name of the scenario in results"`
	Engines          int           `long:"engines" default:"9" min:"1" max:"20000" unit:"engines" description:"number of engines"`
	Applications     int           `long:"applications" default:"3" min:"0" max:"1000" unit:"instances" description:"number of application instances"`
	Zones            int           `long:"zones" default:"3" min:"1" max:"1000" unit:"zones" description:"zones that engines, applications and nodes are spread over in turn"`
	Nodes            int           `long:"nodes" default:"3" min:"1" max:"1000" unit:"nodes" description:"nodes beside live callers; each trainer has one more"`
	Subset           int           `long:"subset" default:"0" min:"0" max:"20000" unit:"engines" description:"engines that a node beside callers uses; 0 is all"`
	ZoneLatency      time.Duration `long:"zone-latency" default:"500us" min:"0s" max:"1s" description:"one-way latency between zones"`
	LocalLatency     time.Duration `long:"local-latency" default:"100us" min:"0s" max:"1s" description:"one-way latency within a zone"`
	CallerLatency    time.Duration `long:"caller-latency" default:"3ms" min:"0s" max:"1s" description:"one-way latency between a caller or trainer and its node"`
	Capacity         int           `long:"capacity" default:"16" min:"1" max:"10000" unit:"streams" description:"streams in an engine's batch"`
	EngineQueue      int           `long:"queue-limit" default:"64" min:"0" max:"1000000" unit:"requests" description:"longest queue of an engine; 0 is no limit"`
	BatchStepBase    time.Duration `long:"step-base" default:"10ms" min:"10us" max:"10s" description:"time of a decoding step apart from its streams"`
	BatchPerStream   time.Duration `long:"step-per-stream" default:"500us" min:"0s" max:"1s" description:"time that each running stream adds to a step"`
	BatchPrefill     time.Duration `long:"prefill-per-token" default:"100us" min:"0s" max:"1s" description:"time to compute one token that is in no cache"`
	ImportTime       time.Duration `long:"import-time" default:"5ms" min:"0s" max:"10s" description:"time that the import of an exported KV cache takes"`
	PrefixBlocks     int           `long:"cache-blocks" default:"1024" min:"0" max:"100000000" unit:"blocks" description:"prefix blocks of 16 tokens that an engine caches"`
	ReportLag        time.Duration `long:"load-report-lag" default:"200ms" min:"1ms" max:"1m" description:"time between two refreshes of an engine's load report"`
	PollInterval     time.Duration `long:"load-poll-interval" default:"500ms" min:"20ms" max:"1m" description:"time between two polls of a load report by a node"`
	CommitLatency    time.Duration `long:"commit-latency" default:"20ms" min:"0s" max:"1m" description:"time that the commit of a manifest takes"`
	ApplicationDelay time.Duration `long:"application-delay" default:"5ms" min:"0s" max:"1m" description:"time that an application takes for a request"`
	ApplicationSlots int           `long:"application-slots" default:"32" min:"1" max:"100000" unit:"requests" description:"requests that an application serves at once"`
}

// ExperimentLengths holds the prompts and the lengths of samples.
type ExperimentLengths struct {
	MedianTokens  float64 `long:"median-tokens" default:"250" min:"1" max:"1000000" unit:"tokens" description:"median length of a sample"`
	LengthSpread  float64 `long:"length-spread" default:"0.8" min:"0" max:"3" description:"standard deviation of the logarithm of lengths"`
	GroupShare    float64 `long:"group-share" default:"0.4" min:"0" max:"1" description:"share of that variance that comes from the prompt's group"`
	LongShare     float64 `long:"long-share" default:"0.01" min:"0" max:"1" description:"share of samples that are longer by long-factor"`
	LongFactor    float64 `long:"long-factor" default:"5" min:"1" max:"1000" description:"factor of the long samples"`
	LongestTokens int     `long:"longest-tokens" default:"4096" min:"1" max:"10000000" unit:"tokens" description:"bound of a sample's length"`
	PromptGroups  int     `long:"prompt-groups" default:"16" min:"1" max:"100000" unit:"groups" description:"groups of prompts of a trainer; those of a group share a prefix"`
	PrefixTokens  int     `long:"prefix-tokens" default:"192" min:"0" max:"100000" unit:"tokens" description:"length of the prefix that a group shares"`
	PromptTokens  int     `long:"prompt-tokens" default:"64" min:"1" max:"100000" unit:"tokens" description:"length of a prompt after the prefix"`
}

// ExperimentTrainers holds the trainers and how long they run.
type ExperimentTrainers struct {
	Trainers []ExperimentTrainer `long:"trainer" mandatory:"yes" value-name:"KEY=VALUE,..." description:"a trainer: name, prompts, samples, bound, train, ahead; may be repeated"`
	Steps    int                 `long:"steps" default:"10" min:"1" max:"100000" unit:"steps" description:"steps that each trainer runs"`
}

// ExperimentTrainer is one entry of the key trainer.
type ExperimentTrainer struct {
	Name string `long:"name" format:"name" mandatory:"yes"`
	// Prompts and Samples are the prompts of a step and the samples for each.
	Prompts int `long:"prompts" default:"64" min:"1" max:"1000000" unit:"prompts"`
	Samples int `long:"samples" default:"8" min:"1" max:"100000" unit:"samples"`
	// Bound is the step's version bound.
	Bound int64 `long:"bound" default:"1" min:"0" max:"1000000" unit:"versions"`
	// Train is the time to train one step.
	Train time.Duration `long:"train" default:"60s" min:"0s" max:"24h"`
	// Concurrency is how many samples of a step are given to engines at once,
	// unless the mechanism queue holds them back.
	Concurrency int `long:"concurrency" default:"256" min:"1" max:"1000000" unit:"samples"`
	// Ahead is how many steps are posted before the trainer needs them.
	Ahead int `long:"ahead" default:"1" min:"0" max:"100" unit:"steps"`
}

// ExperimentLive holds the requests that people and applications wait for.
type ExperimentLive struct {
	LiveRate         float64 `long:"live-rate" default:"8" min:"0" max:"1000000" unit:"requests a second" description:"live requests to the engines a second"`
	LiveMedianTokens float64 `long:"live-median-tokens" default:"40" min:"1" max:"1000000" unit:"tokens" description:"median length of a live answer"`
	LiveLengthSpread float64 `long:"live-length-spread" default:"0.5" min:"0" max:"3" description:"standard deviation of the logarithm of live lengths"`
	LivePromptTokens int     `long:"live-prompt-tokens" default:"48" min:"1" max:"100000" unit:"tokens" description:"length of a live prompt after its shared prefix"`
	LivePrefixTokens int     `long:"live-prefix-tokens" default:"64" min:"0" max:"100000" unit:"tokens" description:"length of the prefix that all live prompts share"`
	ApplicationRate  float64 `long:"application-rate" default:"20" min:"0" max:"1000000" unit:"requests a second" description:"requests to the applications a second"`
}

// ExperimentWeights holds how new versions come and spread.
type ExperimentWeights struct {
	WeightInterval time.Duration `long:"weight-interval" default:"0s" min:"0s" max:"24h" description:"time between two versions; 0s makes one after each step of a trainer"`
	WeightPull     time.Duration `long:"weight-pull" default:"2s" min:"0s" max:"1h" description:"time that an engine takes to fetch a version, while it serves"`
	WeightPause    time.Duration `long:"swap-pause" default:"300ms" min:"0s" max:"1h" description:"time for which a swap of weights stops an engine"`
	SwapShare      float64       `long:"swap-share" default:"0.25" min:"0.001" max:"1" description:"share of the engines that may load at one time"`
}

// ExperimentFaults holds the faults over time.
type ExperimentFaults struct {
	Faults []ExperimentFault `long:"fault" value-name:"KEY=VALUE,..." description:"a fault: kind (crash, slow, cut), at, duration, and engine with factor, or zone; may be repeated"`
}

// Kinds of ExperimentFault.
const (
	FaultCrash = "crash"
	FaultSlow  = "slow"
	FaultCut   = "cut"
)

// ExperimentFault is one entry of the key fault.
type ExperimentFault struct {
	Kind     string        `long:"kind" choice:"crash" choice:"slow" choice:"cut" mandatory:"yes"`
	At       time.Duration `long:"at" min:"0s" max:"240h"`
	Duration time.Duration `long:"duration" default:"30s" min:"1ms" max:"240h"`
	// Engine counts from 0; a cut names a zone in its place.
	Engine int `long:"engine" min:"0" max:"1000000"`
	Zone   int `long:"zone" min:"0" max:"1000000"`
	// Factor is how many times slower a slow engine is.
	Factor float64 `long:"factor" default:"4" min:"1" max:"1000"`
}

// Comparison holds what is compared.
type Comparison struct {
	Policies  []ExperimentPolicy `long:"policy" mandatory:"yes" value-name:"KEY=VALUE,..." description:"a policy: name, routing, path, with (mechanisms joined by +), reserve, quiet-share, quiet-slots, second-after, idle-weight; may be repeated"`
	Baseline  string             `long:"baseline" format:"name" default:"least_loaded" description:"name of the policy that others are compared with"`
	FirstSeed int64              `long:"first-seed" default:"1" min:"0" max:"1000000000" description:"first seed"`
	Seeds     int                `long:"seeds" default:"5" min:"1" max:"1000" unit:"seeds" description:"number of seeds"`
}

// Mechanisms of an ExperimentPolicy.
const (
	// MechanismAnswers takes the load that each answer carries.
	MechanismAnswers = "answers"
	// MechanismQueue keeps samples at the node until an engine has a free slot.
	MechanismQueue = "queue"
	// MechanismPriority prefers the steps that a trainer waits for, and their tail.
	MechanismPriority = "priority"
	// MechanismLongest starts the samples first that are expected to be longest.
	MechanismLongest = "longest"
	// MechanismOracle starts the longest samples first, knowing their lengths.
	// No product can; it shows what not knowing them costs.
	MechanismOracle = "oracle"
	// MechanismMove moves samples to emptier engines in the tail of a step.
	MechanismMove = "move"
	// MechanismSecond starts second attempts in the tail of a step.
	MechanismSecond = "second"
	// MechanismHold delays steps posted ahead by the pool's idle weight.
	MechanismHold = "hold"
	// MechanismRerun runs samples again as soon as they are sure to be too old.
	MechanismRerun = "rerun"
	// MechanismQuiet keeps some engines lightly loaded for live requests.
	MechanismQuiet = "quiet"
	// MechanismShare gives the engines to one step after another.
	MechanismShare = "share"
)

func mechanisms() []string {
	return []string{
		MechanismAnswers, MechanismQueue, MechanismPriority, MechanismLongest, MechanismMove,
		MechanismSecond, MechanismHold, MechanismRerun, MechanismQuiet, MechanismShare, MechanismOracle,
	}
}

// Mechanisms is a set of mechanisms, in settings joined by plus signs.
type Mechanisms []string

// String returns the mechanisms as they stand in the settings.
func (m Mechanisms) String() string { return strings.Join(m, "+") }

// Has tells whether the mechanism is on.
func (m Mechanisms) Has(name string) bool { return slices.Contains(m, name) }

// UnmarshalFlag implements flags.Unmarshaler.
func (m *Mechanisms) UnmarshalFlag(text string) error {
	*m = nil
	for name := range strings.SplitSeq(text, "+") {
		if name == "" {
			continue
		}
		if !slices.Contains(mechanisms(), name) {
			return errs.Errorf("mechanism %q: must be one of %s", name, strings.Join(mechanisms(), ", "))
		}
		*m = append(*m, name)
	}
	return nil
}

// ExperimentPolicy is one entry of the key policy.
type ExperimentPolicy struct {
	Name    string `long:"name" format:"name" mandatory:"yes"`
	Routing string `long:"routing" default:"corrected" choice:"corrected" choice:"round_robin" choice:"least_loaded" choice:"power_of_two" choice:"affinity"`
	// Path is how requests reach engines: chosen by the node itself, through
	// the holder of the pool's lease, within credits that the holder grants, or,
	// for samples, chosen by the nodes in turn, each within its subset.
	Path string     `long:"path" default:"direct" choice:"direct" choice:"holder" choice:"credits" choice:"peers"`
	With Mechanisms `long:"with"`
	// Reserve is the number of batch slots of an engine that training leaves
	// free, with the mechanism queue.
	Reserve int `long:"reserve" default:"0" min:"0" max:"10000" unit:"slots"`
	// QuietShare is the share of engines that the mechanism quiet sets apart,
	// QuietSlots how many requests each of those may have when a sample starts
	// or is moved there.
	QuietShare float64 `long:"quiet-share" default:"0.2" min:"0" max:"1"`
	QuietSlots int     `long:"quiet-slots" default:"4" min:"0" max:"10000" unit:"slots"`
	// SecondAfter is the time after which the mechanism second begins another
	// attempt.
	SecondAfter time.Duration `long:"second-after" default:"30s" min:"1s" max:"1h"`
	// IdleWeight is the pool's idle weight, for the mechanism hold.
	IdleWeight float64 `long:"idle-weight" default:"1" min:"0" max:"1"`
}

// UnmarshalFlag implements flags.Unmarshaler.
func (t *ExperimentTrainer) UnmarshalFlag(text string) error { return parseEntry(text, t) }

// UnmarshalFlag implements flags.Unmarshaler.
func (f *ExperimentFault) UnmarshalFlag(text string) error { return parseEntry(text, f) }

// UnmarshalFlag implements flags.Unmarshaler.
func (p *ExperimentPolicy) UnmarshalFlag(text string) error { return parseEntry(text, p) }

// String returns the entry as it stands in the settings.
func (t ExperimentTrainer) String() string { return formatEntry(&t) }

// String returns the entry as it stands in the settings.
func (f ExperimentFault) String() string { return formatEntry(&f) }

// String returns the entry as it stands in the settings.
func (p ExperimentPolicy) String() string { return formatEntry(&p) }

func (e *Experiment) faults() Faults {
	var faults Faults
	names := map[string]bool{}
	for _, trainer := range e.Trainers {
		faults = append(faults, onceOnly(names, "trainer", trainer.Name)...)
	}
	policies := map[string]bool{}
	for _, policy := range e.Policies {
		faults = append(faults, onceOnly(policies, "policy", policy.Name)...)
	}
	if !policies[e.Baseline] {
		faults = append(faults, Fault{Key: "baseline", Value: e.Baseline, Allowed: "must be the name of a policy"})
	}
	for _, fault := range e.ExperimentFaults.Faults {
		if fault.Kind != FaultCut && fault.Engine >= e.Engines {
			faults = append(faults, Fault{Key: "fault", Value: fault.String(), Allowed: fmt.Sprintf("engine must be below engines = %d", e.Engines)})
		}
		if fault.Kind == FaultCut && fault.Zone >= e.Zones {
			faults = append(faults, Fault{Key: "fault", Value: fault.String(), Allowed: fmt.Sprintf("zone must be below zones = %d", e.Zones)})
		}
	}
	return faults
}

func onceOnly(seen map[string]bool, key, name string) Faults {
	if seen[name] {
		return Faults{{Key: key, Value: name, Allowed: "each name must be used once"}}
	}
	seen[name] = true
	return nil
}

// Policy returns the policy of that name.
func (e *Experiment) Policy(name string) (ExperimentPolicy, bool) {
	for _, policy := range e.Policies {
		if policy.Name == name {
			return policy, true
		}
	}
	return ExperimentPolicy{}, false
}
