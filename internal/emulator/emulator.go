// Package emulator holds the stand-ins of the systems that sliplift serves and
// calls: engines, application instances, the table service, the object store,
// the weight store, the list of machines and the scoring service. One process
// can hold several of them, each with its own address.
//
// The stand-ins follow the interfaces of package api, keep their limits, and
// fail as their fault switches say (package fault), which the control port sets.
// They run over TCP or, inside a testing/synctest bubble, over any listener that
// is given to Start.
package emulator

import (
	"net"
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/emulator/application"
	"github.com/sliplift/sliplift/internal/emulator/engine"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/machine"
	"github.com/sliplift/sliplift/internal/emulator/object"
	"github.com/sliplift/sliplift/internal/emulator/scoring"
	"github.com/sliplift/sliplift/internal/emulator/server"
	"github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/emulator/weight"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

// ErrConfig is returned by Start for a configuration that makes no sense.
const ErrConfig = errs.Tag("emulator: configuration")

// controlName is the name of the control port among the servers.
const controlName = "control"

// Emulator is a set of running stand-ins.
type Emulator struct {
	lg           logrus.FieldLogger
	listen       server.ListenFunc
	faults       *fault.Set
	engines      map[string]*engine.Engine
	applications map[string]*application.Application
	table        *table.Service
	objects      *object.Service
	weights      *weight.Service
	machines     *machine.Service
	scoring      *scoring.Service
	// servers holds those of the services and of the control port.
	servers map[string]*server.Server
	names   map[string]bool
}

// Start starts the stand-ins; they run until Close. httpClient is used only
// where the engines' weight store is in another process.
func Start(
	config Config,
	listen func(address string) (net.Listener, error),
	httpClient *http.Client,
	sink history.Sink,
	lg logrus.FieldLogger,
) (*Emulator, error) {
	e := &Emulator{
		lg:           lg,
		listen:       listen,
		faults:       fault.NewSet(config.Seed),
		engines:      map[string]*engine.Engine{},
		applications: map[string]*application.Application{},
		servers:      map[string]*server.Server{},
		names:        map[string]bool{},
	}
	if err := e.start(config, httpClient, sink); err != nil {
		return nil, errs.Combine(err, e.Close())
	}
	return e, nil
}

func (e *Emulator) start(config Config, httpClient *http.Client, sink history.Sink) error {
	if err := e.startServices(config); err != nil {
		return err
	}
	weights := e.weightStore(config, httpClient)
	for _, engineConfig := range config.Engines {
		if err := e.startEngine(engineConfig, weights, sink); err != nil {
			return err
		}
	}
	for _, applicationConfig := range config.Applications {
		if err := e.startApplication(applicationConfig, sink); err != nil {
			return err
		}
	}
	if config.ControlAddress == "" {
		return nil
	}
	return e.serve(controlName, config.ControlAddress, e.controlHandler())
}

func (e *Emulator) startServices(config Config) error {
	if c := config.Table; c != nil {
		e.table = table.NewService(*c, e.faults)
		if err := e.serve(c.Name, c.Address, e.table.Handler()); err != nil {
			return err
		}
	}
	if c := config.Objects; c != nil {
		e.objects = object.NewService(*c, e.faults)
		if err := e.serve(c.Name, c.Address, e.objects.Handler()); err != nil {
			return err
		}
	}
	if c := config.Weights; c != nil {
		e.weights = weight.NewService(*c, e.faults)
		if err := e.serve(c.Name, c.Address, e.weights.Handler()); err != nil {
			return err
		}
	}
	if c := config.Machines; c != nil {
		e.machines = machine.NewService(*c, e.faults)
		if err := e.serve(c.Name, c.Address, e.machines.Handler()); err != nil {
			return err
		}
	}
	if c := config.Scoring; c != nil {
		e.scoring = scoring.NewService(*c, e.faults)
		return e.serve(c.Name, c.Address, e.scoring.Handler())
	}
	return nil
}

func (e *Emulator) weightStore(config Config, httpClient *http.Client) storeclient.Weights {
	if e.weights != nil {
		return e.weights
	}
	return storeclient.NewClient(httpClient, storeclient.Addresses{Weights: config.WeightStoreAddress})
}

func (e *Emulator) serve(name, address string, handler http.Handler) error {
	if err := e.claimName(name); err != nil {
		return err
	}
	running, err := server.Start(e.lg, server.Config{
		Name:    name,
		Address: address,
		Listen:  e.listen,
		Faults:  e.faults,
		Handler: handler,
	})
	if err != nil {
		return err
	}
	e.servers[name] = running
	return nil
}

func (e *Emulator) startEngine(config engine.Config, weights storeclient.Weights, sink history.Sink) error {
	if err := e.claimName(config.Name); err != nil {
		return err
	}
	needs := engine.Dependencies{Listen: e.listen, Faults: e.faults, Weights: weights, Sink: sink}
	running, err := engine.Start(e.lg, config, needs)
	if err != nil {
		return err
	}
	e.engines[config.Name] = running
	return nil
}

func (e *Emulator) startApplication(config application.Config, sink history.Sink) error {
	if err := e.claimName(config.Name); err != nil {
		return err
	}
	needs := application.Dependencies{Listen: e.listen, Faults: e.faults, Sink: sink}
	running, err := application.Start(e.lg, config, needs)
	if err != nil {
		return err
	}
	e.applications[config.Name] = running
	return nil
}

func (e *Emulator) claimName(name string) error {
	if name == "" || e.names[name] {
		return ErrConfig.Errorf("name %q is empty or taken", name)
	}
	e.names[name] = true
	return nil
}

// Close stops all stand-ins and returns when none of their goroutines runs.
func (e *Emulator) Close() error {
	for _, running := range e.engines {
		running.Close()
	}
	for _, running := range e.applications {
		running.Close()
	}
	for _, running := range e.servers {
		running.Close()
	}
	e.faults.Close()
	return nil
}
