package query

import (
	"fmt"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// operationOf returns the operation of the configuration log that the action
// asks for.
func operationOf(action Action) configlog.Operation {
	switch a := action.(type) {
	case CreatePool:
		return configlog.Operation{CreatePool: &configlog.CreatePool{Pool: poolOf(a)}}
	case AlterPool:
		return configlog.Operation{AlterPool: &configlog.AlterPool{
			Pool:            a.Name,
			VersionBound:    a.Options.VersionBound,
			MaxInFlight:     a.Options.MaxInFlight,
			DefaultPriority: a.Options.Priority,
			IdleWeight:      a.Options.IdleWeight,
		}}
	case AddBackend:
		return configlog.Operation{AlterPool: &configlog.AlterPool{Pool: a.Pool, AddBackends: []configlog.Backend{a.Backend}}}
	case DropBackend:
		return configlog.Operation{AlterPool: &configlog.AlterPool{Pool: a.Pool, DropBackends: []string{a.Backend}}}
	case DropPool:
		return configlog.Operation{DropPool: &configlog.DropPool{Pool: a.Name}}
	case SetSetting:
		return configlog.Operation{SetSetting: &configlog.SetSetting{Name: a.Key, Value: a.Value}}
	case Drain:
		return configlog.Operation{AddDrain: &configlog.AddDrain{Scope: a.Scope, Name: a.Name}}
	case Resume:
		return configlog.Operation{RemoveDrain: &configlog.RemoveDrain{Scope: a.Scope, Name: a.Name}}
	case Pin:
		return configlog.Operation{PinVersion: &configlog.PinVersion{Pool: a.Pool, Version: a.Version}}
	case Unpin:
		return configlog.Operation{UnpinVersion: &configlog.UnpinVersion{Pool: a.Pool}}
	}
	panic(fmt.Sprintf("query: action %T", action))
}

func poolOf(a CreatePool) configlog.Pool {
	pool := configlog.Pool{Name: a.Name, Kind: a.Kind, Model: a.Model, Backends: a.Backends}
	setIfNamed(&pool.VersionBound, a.Options.VersionBound)
	setIfNamed(&pool.DefaultPriority, a.Options.Priority)
	setIfNamed(&pool.MaxInFlight, a.Options.MaxInFlight)
	setIfNamed(&pool.IdleWeight, a.Options.IdleWeight)
	return pool
}

func setIfNamed[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}
