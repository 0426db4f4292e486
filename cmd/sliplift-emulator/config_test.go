package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sliplift/sliplift/internal/settings"
)

func load(t *testing.T, text string) *settings.Emulator {
	t.Helper()
	path := filepath.Join(t.TempDir(), "emulator.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := &settings.Emulator{}
	if err := settings.LoadFile(path, cfg); err != nil {
		t.Fatal(err)
	}
	return cfg
}

func TestConfigHoldsOnlyWhatHasAnAddress(t *testing.T) {
	config := emulatorConfig(load(t, "control-address = 127.0.0.1:0\ntable-address = 127.0.0.1:0\ntable-rate = 7\n"))
	if config.Table == nil || config.Table.PerSecond != 7 {
		t.Errorf("table: got %+v", config.Table)
	}
	if config.Objects != nil || config.Weights != nil || config.Machines != nil || config.Scoring != nil {
		t.Errorf("services without an address: got %+v", config)
	}
}

func TestConfigOfBackends(t *testing.T) {
	config := emulatorConfig(load(t, `
control-address = 127.0.0.1:0
machines-address = 127.0.0.1:0
engine = name=e1,address=127.0.0.1:0,zone=a,region=r,site=s,pool=p,capacity=3,model=m,version=9
application = name=b1,address=127.0.0.1:0,zone=b,pool=q,kind=booking
machine = name=n1,address=127.0.0.1:7000,zone=a
queue-limit = 5
`))
	engine := config.Engines[0]
	if engine.Pool != "p" || engine.Model != "m" || engine.Batch.Capacity != 3 || engine.Batch.Version != 9 || engine.Batch.QueueLimit != 5 {
		t.Errorf("engine: got %+v", engine)
	}
	application := config.Applications[0]
	if application.Label != "booking" || application.Pool != "q" || application.QueueLimit != 5 {
		t.Errorf("application: got %+v", application)
	}
	var names []string
	for _, machine := range config.Machines.Machines {
		names = append(names, machine.Name+"@"+machine.Zone)
	}
	if len(names) != 3 || names[0] != "e1@a" || names[1] != "b1@b" || names[2] != "n1@a" {
		t.Errorf("machines: got %q", names)
	}
}
