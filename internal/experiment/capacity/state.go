package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/backend"
	"github.com/sliplift/sliplift/internal/configlog"
	"github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/lease"
)

// StateSlope is the size of the configuration on the wire and in memory.
type StateSlope struct {
	Backends int `json:"backends"`
	// EmptyBytes is the JSON of a state with one pool without back ends, and
	// BackendBytes what each back end adds; BackendMemory is its heap.
	EmptyBytes    float64 `json:"empty_bytes"`
	BackendBytes  float64 `json:"bytes_per_backend"`
	BackendMemory float64 `json:"memory_per_backend"`
	// SnapshotBytes is what a node that starts pulls: the state with all back
	// ends, claim members and remembered ids.
	SnapshotBytes float64 `json:"snapshot_bytes"`
	// ChangeBytes is the entry of a setting, AddBackendBytes that of one back end
	// more, ClaimListBytes that of a list of claim members.
	ChangeBytes     float64 `json:"change_entry_bytes"`
	AddBackendBytes float64 `json:"add_backend_entry_bytes"`
	ClaimListBytes  float64 `json:"claim_list_entry_bytes"`
	ClaimMembers    int     `json:"claim_members"`
	// LeaseScanBytes is what a candidate for a lease reads at a time, the rows of
	// Leases leases; ReaderScanBytes is what a reader of the log does when nothing
	// has changed.
	Leases          int     `json:"leases"`
	LeaseScanBytes  float64 `json:"lease_scan_bytes"`
	ReaderScanBytes float64 `json:"reader_scan_bytes"`
}

// ChangeApply is what a node does with one change, the messages apart.
type ChangeApply struct {
	Backends int     `json:"backends"`
	Micros   float64 `json:"us_per_change"`
}

// MachineSlope is the cost of reading the list of machines.
type MachineSlope struct {
	Machines int     `json:"machines"`
	Bytes    float64 `json:"bytes"`
	Micros   float64 `json:"decode_us"`
}

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ state *configlog.State }

// Current implements control.Configuration.
func (f fixedConfiguration) Current() *configlog.State { return f.state }

// stateOf returns a configuration of one pool and one shard.
func stateOf(backends int) fixedConfiguration {
	pool := configlog.Pool{Name: poolName, Kind: configlog.PoolEngines, Shards: 1, Version: firstWeight, Backends: samplerBackends(backends)}
	return fixedConfiguration{&configlog.State{
		Revision: 1, Pools: map[string]configlog.Pool{poolName: pool}, Drains: map[string]configlog.Drain{},
	}}
}

func jsonBytes(value any) (float64, error) {
	encoded, err := json.Marshal(value)
	return float64(len(encoded)), ErrSetup.Wrap(err)
}

func measureState(ctx context.Context) (StateSlope, error) {
	slope := StateSlope{Backends: targetSamplers, ClaimMembers: claimMemberCount, Leases: targetShards + 1}
	log, err := fullLog(ctx, targetSamplers)
	if err != nil {
		return slope, err
	}
	empty := stateOf(0).state
	full := stateOf(targetSamplers).state
	addBackend := configlog.Operation{AlterPool: &configlog.AlterPool{Pool: poolName, AddBackends: samplerBackends(1)}}
	sizes := []struct {
		value  any
		result *float64
	}{
		{empty, &slope.EmptyBytes},
		{full, &slope.BackendBytes},
		{log.Snapshot(), &slope.SnapshotBytes},
		{leaseRows(targetShards + 1), &slope.LeaseScanBytes},
		{rowsOf("config/log/0000000000100000", entryOf(probeOperation(1))), &slope.ReaderScanBytes},
		{entryOf(probeOperation(1)), &slope.ChangeBytes},
		{entryOf(addBackend), &slope.AddBackendBytes},
		{entryOf(configlog.Operation{SetClaimMembers: &configlog.SetClaimMembers{Current: manyClaimMembers()}}), &slope.ClaimListBytes},
	}
	for _, size := range sizes {
		if *size.result, err = jsonBytes(size.value); err != nil {
			return slope, err
		}
	}
	slope.BackendBytes = (slope.BackendBytes - slope.EmptyBytes) / targetSamplers
	slope.BackendMemory, err = backendMemory(full)
	return slope, err
}

// leaseRows is the answer to a scan of the leases.
func leaseRows(count int) api.ScanResponse {
	response := api.ScanResponse{Revision: 10_000_000}
	for i := range count {
		record := lease.Record{
			Shard: fmt.Sprintf("%s/%d", poolName, i), Holder: nodeName(i), Epoch: 12,
			DurationMS: lease.DefaultDuration.Milliseconds(), Nonce: uuid.NewString(),
		}
		response.Rows = append(response.Rows, rowsOf("lease/"+record.Shard, record).Rows...)
	}
	return response
}

// rowsOf is the answer to a scan that finds one row.
func rowsOf(key string, value any) api.ScanResponse {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("capacity: a row must encode: " + err.Error())
	}
	return api.ScanResponse{Revision: 10_000_000, Rows: []api.Row{{Key: key, Value: encoded, Revision: 10_000_000}}}
}

func entryOf(operation configlog.Operation) configlog.Entry {
	return configlog.Entry{Revision: 100_000, Change: configlog.NewChange("operator@example", operation)}
}

func manyClaimMembers() []configlog.ClaimMember {
	var members []configlog.ClaimMember
	for i := range claimMemberCount {
		members = append(members, configlog.ClaimMember{Name: nodeName(i), Address: fmt.Sprintf("10.2.%d.%d:7002", i/250, 1+i%250), Zone: zoneOf(i)})
	}
	return members
}

// backendMemory decodes the state a few times, as each node does.
func backendMemory(state *configlog.State) (float64, error) {
	const copies = 10
	encoded, err := json.Marshal(state)
	if err != nil {
		return 0, ErrSetup.Wrap(err)
	}
	decoded := make([]configlog.State, copies)
	before := memoryInUse()
	for i := range decoded {
		if err := json.Unmarshal(encoded, &decoded[i]); err != nil {
			return 0, ErrSetup.Wrap(err)
		}
	}
	used := memoryInUse() - before
	count := 0
	for i := range decoded { // keeps the copies alive until here
		count += len(decoded[i].Pools[poolName].Backends)
	}
	return used / float64(count), nil
}

// rememberedIDs is more than a log remembers of accepted changes.
const rememberedIDs = 600

// fullLog returns a log with a pool, claim members and as many remembered ids as
// a log keeps.
func fullLog(ctx context.Context, backends int) (*configlog.Log, error) {
	pool := configlog.Pool{Name: poolName, Kind: configlog.PoolEngines, Backends: samplerBackends(backends)}
	operations := []configlog.Operation{
		{CreatePool: &configlog.CreatePool{Pool: pool}},
		{SetClaimMembers: &configlog.SetClaimMembers{Current: manyClaimMembers()}},
	}
	for i := range rememberedIDs {
		operations = append(operations, probeOperation(i))
	}
	store := configlog.NewStore(newTable(table.Config{Name: "table"}), 1, configlog.Faults{})
	log := configlog.NewLog()
	for _, operation := range operations {
		var result configlog.Result
		if result, log = store.Submit(ctx, log, configlog.NewChange("setup", operation)); result.Outcome != configlog.OutcomeAccepted {
			return nil, ErrSetup.Errorf("%s: %s", operation, result.Message)
		}
	}
	return log, nil
}

// measureChangeApply measures what each node does with a change: the log, the
// subset of back ends that it uses, and the shards.
func measureChangeApply(ctx context.Context, cfg Config) ([]ChangeApply, error) {
	var slopes []ChangeApply
	for _, backends := range []int{10, 400, targetSamplers} {
		log, err := fullLog(ctx, backends)
		if err != nil {
			return nil, err
		}
		settings := backend.DefaultConfig("node", zoneOf(0), regionOf(0))
		settings.PollInterval = time.Hour
		set := backend.NewSet(quietLogger(), settings, newSamplers(cfg, nil))
		cost, err := runWork(ctx, 1, cfg.SlopeTime/slopeRuns, func(int) error {
			entry := entryOf(probeOperation(int(log.Revision())))
			entry.Revision = log.Revision() + 1
			log, err = log.Extend(entry)
			if err != nil {
				return err
			}
			set.Apply(log.State())
			leaseShards(log.State())
			return nil
		})
		set.Close()
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, ChangeApply{Backends: backends, Micros: cost.micros})
	}
	return slopes, nil
}

func machineList(count int) api.MachineList {
	list := api.MachineList{AsOfMS: time.Now().UnixMilli()}
	for i := range count {
		list.Machines = append(list.Machines, api.Machine{
			Name: fmt.Sprintf("machine-%04d", i), Address: fmt.Sprintf("10.3.%d.%d", i/250, 1+i%250),
			Zone: zoneOf(i), Region: regionOf(i), Site: "site-1", State: api.MachineLive,
		})
	}
	return list
}

func measureMachineList(cfg Config) (MachineSlope, error) {
	encoded, err := json.Marshal(machineList(targetMachines))
	if err != nil {
		return MachineSlope{}, ErrSetup.Wrap(err)
	}
	cost, err := runWork(context.Background(), 1, cfg.SlopeTime/slopeRuns, func(int) error {
		var list api.MachineList
		return json.Unmarshal(encoded, &list)
	})
	return MachineSlope{Machines: targetMachines, Bytes: float64(len(encoded)), Micros: cost.micros}, err
}
