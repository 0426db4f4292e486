package emulator

import (
	"github.com/sliplift/sliplift/internal/emulator/application"
	"github.com/sliplift/sliplift/internal/emulator/engine"
	"github.com/sliplift/sliplift/internal/emulator/machine"
	"github.com/sliplift/sliplift/internal/emulator/object"
	"github.com/sliplift/sliplift/internal/emulator/scoring"
	"github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/emulator/weight"
)

// Config says which stand-ins one process holds. Names are unique over all of
// them. An address with port 0 asks for any free port.
type Config struct {
	// Seed is that of the faults' probabilities.
	Seed int64
	// ControlAddress is host:port of the control port; empty means none.
	ControlAddress string
	Engines        []engine.Config
	Applications   []application.Config
	// Services that are nil are not in this process.
	Table    *table.Config
	Objects  *object.Config
	Weights  *weight.Config
	Machines *machine.Config
	Scoring  *scoring.Config
	// WeightStoreAddress is host:port of the weight store for the engines where
	// Weights is nil.
	WeightStoreAddress string
}

// DefaultConfig returns every service of the platform with its defaults and a
// control port, on free ports of the loopback interface, and no back end; add
// those with engine.DefaultConfig and application.DefaultConfig.
func DefaultConfig() Config {
	tableConfig := table.DefaultConfig()
	objectConfig := object.DefaultConfig()
	weightConfig := weight.DefaultConfig()
	machineConfig := machine.DefaultConfig()
	scoringConfig := scoring.DefaultConfig()
	return Config{
		Seed:           1,
		ControlAddress: "127.0.0.1:0",
		Table:          &tableConfig,
		Objects:        &objectConfig,
		Weights:        &weightConfig,
		Machines:       &machineConfig,
		Scoring:        &scoringConfig,
	}
}
