package cluster

import (
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/emulator"
	"github.com/sliplift/sliplift/internal/emulator/application"
	"github.com/sliplift/sliplift/internal/emulator/engine"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/node"
	"github.com/sliplift/sliplift/internal/settings"
)

// Names of the pools that the stand-ins are made for.
const (
	TitlesPool  = "titles"
	PreviewPool = "preview"
	BookingPool = "booking"
	// Model names the engines' weights in the weight store.
	Model = "language"
)

// Config says what a cluster holds.
type Config struct {
	Nodes    int
	Engines  int
	Previews int
	Bookings int
	// Zones are given to nodes and back ends in turn. Sites too.
	Zones []string
	Sites []string
	// Region is that of all zones.
	Region  string
	Network Network
	Log     logrus.FieldLogger
	Sink    history.Sink
	// Tune, if set, may change a node's settings before it starts.
	Tune func(settings *settings.Node)
	// Faults are given to every node.
	Faults node.Faults
	// TuneEmulator, if set, may change the stand-ins before they start.
	TuneEmulator func(config *emulator.Config)
}

// DefaultConfig returns three nodes before six engines and two instances each
// of two applications, in three zones of two sites, over loopback TCP.
func DefaultConfig(log logrus.FieldLogger, sink history.Sink) Config {
	return Config{
		Nodes:    3,
		Engines:  6,
		Previews: 2,
		Bookings: 2,
		Zones:    []string{"hall-a", "hall-b", "hall-c"},
		Sites:    []string{"old", "new"},
		Region:   "south",
		Network:  Loopback{},
		Log:      log,
		Sink:     sink,
	}
}

// NodeName returns the name of the i-th node, from 1.
func NodeName(i int) string { return fmt.Sprintf("n%d", i) }

// engineName returns the name of the i-th engine, from 1.
func engineName(i int) string { return fmt.Sprintf("e%d", i) }

func (c Config) zone(i int) string { return c.Zones[i%len(c.Zones)] }
func (c Config) site(i int) string { return c.Sites[i%len(c.Sites)] }

// Timings of a cluster in one process: short, so that a demo shows takeovers.
const (
	leaseDuration     = 3 * time.Second
	heartbeatInterval = 500 * time.Millisecond
	claimValidity     = 2 * time.Minute
	maxDeadline       = time.Minute
	stopTimeout       = 20 * time.Second
)

// nodeSettings returns the settings of the i-th node, from 1, without addresses.
func (c Config) nodeSettings(i int) (settings.Node, error) {
	var cfg settings.Node
	const anyAddress = "127.0.0.1:1"
	arguments := []string{"--name=" + NodeName(i), "--zone=" + c.zone(i-1), "--region=" + c.Region, "--site=" + c.site(i-1)}
	for _, service := range []string{"table", "objects", "weights", "machines", "scoring"} {
		arguments = append(arguments, "--"+service+"-address="+anyAddress)
	}
	if err := settings.Load(settings.NodeProgram, "", arguments, &cfg); err != nil {
		return cfg, err
	}
	cfg.LeaseDuration = leaseDuration
	cfg.HeartbeatInterval = heartbeatInterval
	cfg.ClaimValidity = claimValidity
	cfg.MaxDeadline = maxDeadline
	cfg.StopTimeout = stopTimeout
	if c.Tune != nil {
		c.Tune(&cfg)
	}
	return cfg, nil
}

// emulatorConfig lists the stand-ins. Each address is a host's name and the
// service port; over loopback the name is not used.
func (c Config) emulatorConfig() emulator.Config {
	config := emulator.DefaultConfig()
	config.ControlAddress = ""
	config.Table.Address = serviceAddress("table")
	config.Objects.Address = serviceAddress("objects")
	config.Weights.Address = serviceAddress("weights")
	config.Machines.Address = serviceAddress("machines")
	config.Scoring.Address = serviceAddress("scoring")
	for i := 1; i <= c.Engines; i++ {
		engineConfig := engine.DefaultConfig(engineName(i))
		engineConfig.Address = serviceAddress(engineConfig.Name)
		engineConfig.Pool = TitlesPool
		engineConfig.Model = Model
		config.Engines = append(config.Engines, engineConfig)
	}
	config.Applications = append(config.Applications, applications(PreviewPool, c.Previews)...)
	config.Applications = append(config.Applications, applications(BookingPool, c.Bookings)...)
	if c.TuneEmulator != nil {
		c.TuneEmulator(&config)
	}
	return config
}

func applications(pool string, count int) []application.Config {
	var configs []application.Config
	for i := 1; i <= count; i++ {
		config := application.DefaultConfig(applicationName(pool, i))
		config.Address = serviceAddress(config.Name)
		config.Pool = pool
		config.Label = pool
		configs = append(configs, config)
	}
	return configs
}

func serviceAddress(host string) string { return net.JoinHostPort(host, string(portService)) }

// backend describes the i-th back end of a pool, from 0, for the configuration.
func (c Config) backend(name, address string, i int) configlog.Backend {
	return configlog.Backend{Name: name, Address: address, Zone: c.zone(i), Region: c.Region, Site: c.site(i)}
}

func applicationName(pool string, i int) string { return fmt.Sprintf("%s-%d", pool, i) }
