package faulttest

import (
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/history"
)

// machineListLag is the time after which the stand-in's list shows a change.
const machineListLag = 2 * time.Second

// Fault switches a fault of a stand-in on. Any goroutine may call it.
func (w *World) Fault(strike fault.Fault) {
	if _, err := w.cluster.Emulator().Faults().Add(strike); err != nil {
		w.note("fault: %v", err)
	}
}

// Mend switches the faults of a target off, or all of them for an empty one.
func (w *World) Mend(target string) {
	faults := w.cluster.Emulator().Faults()
	for _, struck := range faults.List() {
		if target == "" || struck.Target == target {
			faults.Remove(struck.ID)
		}
	}
}

// LeaveByList marks a back end's machine as leaving in the platform's list,
// which shows it only after its lag.
func (w *World) LeaveByList(backend string) {
	if !w.cluster.Emulator().Machines().SetState(backend, api.MachineLeaving) {
		w.note("no machine %s", backend)
	}
	w.operators.drained(history.KindDrainAccepted, backend, machineListLag+drainLimit)
}

// LeaveByReport lets a back end itself tell that it leaves.
func (w *World) LeaveByReport(backend string) {
	if !w.cluster.Emulator().SetLeaving(backend, true) {
		w.note("no back end %s", backend)
	}
	w.operators.drained(history.KindDrainAccepted, backend, drainLimit)
}
