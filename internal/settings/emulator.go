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
	Speeds         `group:"Speeds"`
	Telemetry      `group:"Telemetry"`
	RandomSeed     uint64 `long:"random-seed" default:"1" description:"seed of every random choice"`
	ControlAddress string `long:"control-address" format:"listen" mandatory:"yes" description:"IP:port on which faults are switched on and off"`
}

// Services holds where the stand-ins of the platform listen.
type Services struct {
	TableAddress    string `long:"table-address" format:"listen" description:"IP:port of the table service"`
	ObjectsAddress  string `long:"objects-address" format:"listen" description:"IP:port of the object store"`
	WeightsAddress  string `long:"weights-address" format:"listen" description:"IP:port of the weight store"`
	MachinesAddress string `long:"machines-address" format:"listen" description:"IP:port of the list of machines"`
	ScoringAddress  string `long:"scoring-address" format:"listen" description:"IP:port of the scoring service"`
}

// Backends holds the engines and application instances.
type Backends struct {
	Engines      []Engine      `long:"engine" value-name:"KEY=VALUE,..." description:"an engine: name, address, zone, region, site, capacity, model, version; may be repeated"`
	Applications []Application `long:"application" value-name:"KEY=VALUE,..." description:"an application instance: name, address, zone, region, site, capacity, kind; may be repeated"`
}

// Place says where a back end stands and what it holds at once.
type Place struct {
	Name     string `long:"name" format:"name" mandatory:"yes"`
	Address  string `long:"address" format:"listen" mandatory:"yes"`
	Zone     string `long:"zone" format:"name" mandatory:"yes"`
	Region   string `long:"region" format:"name"`
	Site     string `long:"site" format:"name"`
	Capacity int    `long:"capacity" default:"16" min:"1" max:"100000" unit:"requests"`
}

// Engine is one entry of the key engine.
type Engine struct {
	Place
	Model   string `long:"model" format:"name" default:"model"`
	Version int64  `long:"version" default:"1" min:"0" max:"9000000000"`
}

// Application is one entry of the key application.
type Application struct {
	Place
	Kind string `long:"kind" choice:"preview" choice:"booking" default:"preview"`
}

// Speeds holds how fast the stand-ins are and how far they lag.
type Speeds struct {
	TableRate        float64       `long:"table-rate" default:"200" min:"0.1" max:"1000000" unit:"requests a second" description:"limit of the table service, in requests a second"`
	ObjectsRate      float64       `long:"objects-rate" default:"200" min:"0.1" max:"1000000" unit:"requests a second" description:"limit of the object store, in requests a second"`
	WeightsRate      float64       `long:"weights-rate" default:"4" min:"0.1" max:"1000000" unit:"loads a second" description:"limit of the weight store, in loads a second"`
	ServiceLatency   time.Duration `long:"service-latency" default:"2ms" min:"0s" max:"1m" description:"time that a service of the platform takes to answer"`
	TokenInterval    time.Duration `long:"token-interval" default:"2ms" min:"10us" max:"10s" description:"time between two tokens of one stream on an engine that is not crowded"`
	PrefillInterval  time.Duration `long:"prefill-interval" default:"20us" min:"0s" max:"1s" description:"time to compute one token of a prompt that is not cached"`
	MeanTokens       int           `long:"mean-tokens" default:"64" min:"1" max:"1000000" unit:"tokens" description:"mean length of an answer; lengths have a long tail"`
	LoadDuration     time.Duration `long:"load-duration" default:"500ms" min:"0s" max:"1h" description:"time that an engine takes to load a weight version"`
	LoadReportLag    time.Duration `long:"load-report-lag" default:"100ms" min:"0s" max:"1m" description:"age of the load reports of back ends"`
	MachinesLag      time.Duration `long:"machines-lag" default:"1s" min:"0s" max:"1h" description:"age of the list of machines"`
	CacheEventsLag   time.Duration `long:"cache-events-lag" default:"200ms" min:"0s" max:"1m" description:"age of the cache events of engines"`
	CacheBlocks      int           `long:"cache-blocks" default:"4096" min:"0" max:"100000000" unit:"blocks" description:"prefix blocks that an engine caches"`
	ApplicationDelay time.Duration `long:"application-delay" default:"5ms" min:"0s" max:"1m" description:"time that an application takes to answer"`
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
	check := func(key string, place Place) {
		if seen[place.Name] {
			faults = append(faults, Fault{Key: key, Value: place.Name, Allowed: "each name must be used once among engines and applications"})
		}
		seen[place.Name] = true
		addresses = append(addresses, keyedAddress{key + " " + place.Name, place.Address})
	}
	for _, engine := range e.Engines {
		check("engine", engine.Place)
	}
	for _, application := range e.Applications {
		check("application", application.Place)
	}
	return append(faults, distinctAddresses(addresses)...)
}

// UnmarshalFlag implements flags.Unmarshaler.
func (e *Engine) UnmarshalFlag(text string) error { return parseEntry(text, e) }

// UnmarshalFlag implements flags.Unmarshaler.
func (a *Application) UnmarshalFlag(text string) error { return parseEntry(text, a) }

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
