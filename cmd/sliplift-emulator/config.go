package main

import (
	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator"
	"github.com/sliplift/sliplift/internal/emulator/application"
	"github.com/sliplift/sliplift/internal/emulator/engine"
	"github.com/sliplift/sliplift/internal/settings"
)

// emulatorConfig turns settings into the configuration of the stand-ins.
// Whatever no setting names keeps the default of its stand-in.
func emulatorConfig(cfg *settings.Emulator) emulator.Config {
	config := emulator.DefaultConfig()
	config.Seed = cfg.RandomSeed
	config.ControlAddress = cfg.ControlAddress
	config.WeightStoreAddress = cfg.RemoteWeightsAddress
	setServices(&config, cfg)
	for _, entry := range cfg.Engines {
		config.Engines = append(config.Engines, engineConfig(cfg.EngineSpeed, entry))
	}
	for _, entry := range cfg.Applications {
		config.Applications = append(config.Applications, applicationConfig(cfg.EngineSpeed, entry))
	}
	return config
}

func setServices(config *emulator.Config, cfg *settings.Emulator) {
	config.Table.Address = cfg.TableAddress
	config.Table.PerSecond = cfg.TableRate
	config.Objects.Address = cfg.ObjectsAddress
	config.Objects.PerSecond = cfg.ObjectsRate
	config.Weights.Address = cfg.WeightsAddress
	config.Weights.ConcurrentPulls = cfg.WeightPulls
	config.Weights.BytesPerSecond = cfg.WeightRate
	config.Machines.Address = cfg.MachinesAddress
	config.Machines.Lag = cfg.MachinesLag
	config.Machines.Machines = machines(cfg)
	config.Scoring.Address = cfg.ScoringAddress
	config.Scoring.ScoreTime = cfg.ScoringDelay
	dropUnlessSet(&config.Table, cfg.TableAddress)
	dropUnlessSet(&config.Objects, cfg.ObjectsAddress)
	dropUnlessSet(&config.Weights, cfg.WeightsAddress)
	dropUnlessSet(&config.Machines, cfg.MachinesAddress)
	dropUnlessSet(&config.Scoring, cfg.ScoringAddress)
}

// dropUnlessSet leaves out a service that has no address.
func dropUnlessSet[T any](service **T, address string) {
	if address == "" {
		*service = nil
	}
}

func machines(cfg *settings.Emulator) []api.Machine {
	var list []api.Machine
	add := func(entry settings.Machine) {
		list = append(list, api.Machine{
			Name:    entry.Name,
			Address: entry.Address,
			Zone:    entry.Zone,
			Region:  entry.Region,
			Site:    entry.Site,
			State:   api.MachineLive,
		})
	}
	for _, entry := range cfg.Engines {
		add(entry.Machine)
	}
	for _, entry := range cfg.Applications {
		add(entry.Machine)
	}
	for _, entry := range cfg.Machines {
		add(entry)
	}
	return list
}

func engineConfig(speed settings.EngineSpeed, entry settings.Engine) engine.Config {
	config := engine.DefaultConfig(entry.Name)
	config.Address = entry.Address
	config.Pool = entry.Pool
	config.Model = entry.Model
	config.LoadLag = speed.LoadReportLag
	config.SwapPause = speed.SwapPause
	config.CacheEventLag = speed.CacheEventLag
	config.CacheEventLoss = speed.CacheEventLoss
	config.Batch.Capacity = entry.Capacity
	config.Batch.QueueLimit = speed.QueueLimit
	config.Batch.StepBase = speed.StepBase
	config.Batch.StepPerStream = speed.StepPerStream
	config.Batch.PrefillPerToken = speed.PrefillPerToken
	config.Batch.CacheBlocks = speed.CacheBlocks
	config.Batch.Version = entry.Version
	config.Batch.Lengths.MedianTokens = speed.MedianTokens
	config.Batch.Lengths.Sigma = speed.LengthSpread
	return config
}

func applicationConfig(speed settings.EngineSpeed, entry settings.Application) application.Config {
	config := application.DefaultConfig(entry.Name)
	config.Address = entry.Address
	config.Pool = entry.Pool
	config.Label = entry.Kind
	config.Capacity = entry.Capacity
	config.QueueLimit = speed.QueueLimit
	config.ServiceTime = speed.ApplicationDelay
	config.LoadLag = speed.LoadReportLag
	return config
}
