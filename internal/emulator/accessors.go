package emulator

import (
	"maps"
	"slices"

	"github.com/sliplift/sliplift/internal/emulator/application"
	"github.com/sliplift/sliplift/internal/emulator/engine"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/machine"
	"github.com/sliplift/sliplift/internal/emulator/object"
	"github.com/sliplift/sliplift/internal/emulator/scoring"
	"github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/emulator/weight"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

// Engine returns the engine of that name, nil if there is none.
func (e *Emulator) Engine(name string) *engine.Engine { return e.engines[name] }

// Engines returns the names of the engines in order.
func (e *Emulator) Engines() []string { return slices.Sorted(maps.Keys(e.engines)) }

// Application returns the instance of that name, nil if there is none.
func (e *Emulator) Application(name string) *application.Application { return e.applications[name] }

// Applications returns the names of the application instances in order.
func (e *Emulator) Applications() []string { return slices.Sorted(maps.Keys(e.applications)) }

// Table returns the table service, nil if it is not in this process.
func (e *Emulator) Table() *table.Service { return e.table }

// Objects returns the object store, nil if it is not in this process.
func (e *Emulator) Objects() *object.Service { return e.objects }

// Weights returns the weight store, nil if it is not in this process.
func (e *Emulator) Weights() *weight.Service { return e.weights }

// Machines returns the list of machines, nil if it is not in this process.
func (e *Emulator) Machines() *machine.Service { return e.machines }

// Scoring returns the scoring service, nil if it is not in this process.
func (e *Emulator) Scoring() *scoring.Service { return e.scoring }

// Faults returns the fault switches of all stand-ins.
func (e *Emulator) Faults() *fault.Set { return e.faults }

// Address returns host:port of the stand-in of that name, empty if there is
// none.
func (e *Emulator) Address(name string) string {
	if running, found := e.engines[name]; found {
		return running.Address()
	}
	if running, found := e.applications[name]; found {
		return running.Address()
	}
	if running, found := e.servers[name]; found {
		return running.Address()
	}
	return ""
}

// ControlAddress returns host:port of the control port, empty if there is none.
func (e *Emulator) ControlAddress() string { return e.Address(controlName) }

// ServiceAddresses returns the addresses of the platform's services that are in
// this process, under the names of DefaultConfig or those configured.
func (e *Emulator) ServiceAddresses(config Config) storeclient.Addresses {
	var addresses storeclient.Addresses
	if config.Table != nil {
		addresses.Table = e.Address(config.Table.Name)
	}
	if config.Objects != nil {
		addresses.Objects = e.Address(config.Objects.Name)
	}
	if config.Weights != nil {
		addresses.Weights = e.Address(config.Weights.Name)
	}
	if config.Machines != nil {
		addresses.Machines = e.Address(config.Machines.Name)
	}
	if config.Scoring != nil {
		addresses.Scoring = e.Address(config.Scoring.Name)
	}
	return addresses
}
