package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// EmulatorProgram is the name of the program of stand-ins.
const EmulatorProgram = "sliplift-emulator"

// Emulator is what the process of stand-ins is told at its start. A service
// whose address is empty is not started.
type Emulator struct {
	Services       `group:"Services"`
	Backends       `group:"Back ends"`
	EngineSpeed    `group:"Engine speed"`
	ServiceSpeed   `group:"Service speed"`
	Telemetry      `group:"Telemetry"`
	ControlAddress string `long:"control-address" format:"listen" mandatory:"yes" description:"IP:port on which faults are switched on and off"`
	RandomSeed     int64  `long:"random-seed" default:"1" min:"0" max:"9000000000" description:"seed of the faults' probabilities"`
}

// Services holds where the stand-ins of the platform listen.
type Services struct {
	TableAddress    string `long:"table-address" format:"listen" description:"IP:port of the table service"`
	ObjectsAddress  string `long:"objects-address" format:"listen" description:"IP:port of the object store"`
	WeightsAddress  string `long:"weights-address" format:"listen" description:"IP:port of the weight store"`
	MachinesAddress string `long:"machines-address" format:"listen" description:"IP:port of the list of machines"`
	ScoringAddress  string `long:"scoring-address" format:"listen" description:"IP:port of the scoring service"`
	// RemoteWeightsAddress is for engines whose weight store is elsewhere.
	RemoteWeightsAddress string `long:"remote-weights-address" format:"address" description:"IP:port of a weight store in another process, for engines, if weights-address is empty"`
}

// Backends holds the engines and application instances, and other machines
// that the platform's list names.
type Backends struct {
	Engines      []Engine      `long:"engine" value-name:"KEY=VALUE,..." description:"an engine: name, address, zone, region, site, pool, capacity, model, version; may be repeated"`
	Applications []Application `long:"application" value-name:"KEY=VALUE,..." description:"an application instance: name, address, zone, region, site, pool, capacity, kind; may be repeated"`
	Machines     []Machine     `long:"machine" value-name:"KEY=VALUE,..." description:"a node in the list of machines: name, address, zone, region, site; may be repeated"`
}

// Machine is one entry of the key machine, and the part of engines and
// applications that the list of machines shows.
type Machine struct {
	Name    string `long:"name" format:"name" mandatory:"yes"`
	Address string `long:"address" format:"listen" mandatory:"yes"`
	Zone    string `long:"zone" format:"name" mandatory:"yes"`
	Region  string `long:"region" format:"name"`
	Site    string `long:"site" format:"name"`
}

// Engine is one entry of the key engine.
type Engine struct {
	Machine
	Pool     string `long:"pool" format:"name" mandatory:"yes"`
	Capacity int    `long:"capacity" default:"16" min:"1" max:"100000" unit:"streams"`
	Model    string `long:"model" format:"name" default:"language"`
	Version  int64  `long:"version" default:"1" min:"0" max:"9000000000"`
}

// Application is one entry of the key application.
type Application struct {
	Machine
	Pool     string `long:"pool" format:"name" mandatory:"yes"`
	Capacity int    `long:"capacity" default:"32" min:"1" max:"100000" unit:"requests"`
	Kind     string `long:"kind" choice:"preview" choice:"booking" default:"preview"`
}

// EngineSpeed holds how fast engines and applications are and how far their
// reports lag.
type EngineSpeed struct {
	StepBase         time.Duration `long:"step-base" default:"10ms" min:"10us" max:"10s" description:"time of a decoding step apart from its streams"`
	StepPerStream    time.Duration `long:"step-per-stream" default:"500us" min:"0s" max:"1s" description:"time that each running stream adds to a step"`
	PrefillPerToken  time.Duration `long:"prefill-per-token" default:"100us" min:"0s" max:"1s" description:"time to compute one token of a prompt that is not cached"`
	MedianTokens     float64       `long:"median-tokens" default:"60" min:"1" max:"1000000" unit:"tokens" description:"median length of an answer in tokens"`
	LengthSpread     float64       `long:"length-spread" default:"0.8" min:"0" max:"3" description:"standard deviation of the logarithm of answer lengths; 0 makes all equally long"`
	QueueLimit       int           `long:"queue-limit" default:"64" min:"0" max:"1000000" unit:"requests" description:"longest queue of a back end; 0 is no limit"`
	SwapPause        time.Duration `long:"swap-pause" default:"300ms" min:"0s" max:"1h" description:"time for which a swap of weights stops an engine"`
	LoadReportLag    time.Duration `long:"load-report-lag" default:"200ms" min:"1ms" max:"1m" description:"time between two refreshes of a load report"`
	CacheBlocks      int           `long:"cache-blocks" default:"1024" min:"0" max:"100000000" unit:"blocks" description:"prefix blocks that an engine caches; 0 turns the cache off"`
	CacheEventLag    time.Duration `long:"cache-event-lag" default:"500ms" min:"0s" max:"1m" description:"time after which a cache event is published"`
	CacheEventLoss   float64       `long:"cache-event-loss" default:"0.05" min:"0" max:"1" description:"share of cache events that get lost"`
	ApplicationDelay time.Duration `long:"application-delay" default:"5ms" min:"0s" max:"1m" description:"time that an application takes for a request"`
}

// ServiceSpeed holds the limits and lags of the platform's services.
type ServiceSpeed struct {
	TableRate    float64       `long:"table-rate" default:"500" min:"0" max:"1000000" unit:"calls a second" description:"limit of the table service in calls a second; 0 is none"`
	ObjectsRate  float64       `long:"objects-rate" default:"200" min:"0" max:"1000000" unit:"calls a second" description:"limit of the object store in calls a second; 0 is none"`
	WeightPulls  int           `long:"weight-pulls" default:"4" min:"0" max:"100000" unit:"pulls" description:"pulls that the weight store serves at once; 0 is no limit"`
	WeightRate   int64         `long:"weight-rate" default:"4000000000" min:"0" max:"9000000000000" unit:"bytes a second" description:"rate of one pull of weights in bytes a second; 0 takes no time"`
	MachinesLag  time.Duration `long:"machines-lag" default:"2s" min:"0s" max:"1h" description:"age of the list of machines"`
	ScoringDelay time.Duration `long:"scoring-delay" default:"5ms" min:"0s" max:"1m" description:"time that the scoring service takes for a score"`
}

func (e *Emulator) faults() Faults {
	addresses := []keyedAddress{
		{"control-address", e.ControlAddress},
		{"table-address", e.TableAddress},
		{"objects-address", e.ObjectsAddress},
		{"weights-address", e.WeightsAddress},
		{"machines-address", e.MachinesAddress},
		{"scoring-address", e.ScoringAddress},
	}
	var faults Faults
	seen := map[string]bool{}
	check := func(key string, place Machine) {
		if seen[place.Name] {
			faults = append(faults, Fault{Key: key, Value: place.Name, Allowed: "each name must be used once"})
		}
		seen[place.Name] = true
		addresses = append(addresses, keyedAddress{key + " " + place.Name, place.Address})
	}
	for _, engine := range e.Engines {
		check("engine", engine.Machine)
	}
	for _, application := range e.Applications {
		check("application", application.Machine)
	}
	for _, machine := range e.Machines {
		check("machine", machine)
	}
	return append(faults, distinctAddresses(addresses)...)
}

// UnmarshalFlag implements flags.Unmarshaler.
func (e *Engine) UnmarshalFlag(text string) error { return parseEntry(text, e) }

// UnmarshalFlag implements flags.Unmarshaler.
func (a *Application) UnmarshalFlag(text string) error { return parseEntry(text, a) }

// UnmarshalFlag implements flags.Unmarshaler.
func (m *Machine) UnmarshalFlag(text string) error { return parseEntry(text, m) }

// String returns the entry as it stands in the settings.
func (m Machine) String() string { return formatEntry(&m) }

// String returns the entry as it stands in the settings.
func (e Engine) String() string { return formatEntry(&e) }

// String returns the entry as it stands in the settings.
func (a Application) String() string { return formatEntry(&a) }

// parseEntry reads KEY=VALUE pairs, separated by commas, by the same schema
// tags as the settings themselves.
func parseEntry(text string, entry any) error {
	parser := flags.NewParser(entry, flags.None)
	var args []string
	for pair := range strings.SplitSeq(text, ",") {
		args = append(args, "--"+strings.TrimSpace(pair))
	}
	if faults := parseArguments(parser, args); len(faults) > 0 {
		return faults
	}
	if faults := checkBounds(parser); len(faults) > 0 {
		return faults
	}
	return nil
}

func formatEntry(entry any) string {
	var pairs []string
	eachOption(flags.NewParser(entry, flags.None), func(option *flags.Option) {
		if text := fmt.Sprint(option.Value()); text != "" {
			pairs = append(pairs, option.LongName+"="+text)
		}
	})
	return strings.Join(pairs, ",")
}
