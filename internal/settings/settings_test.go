package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jessevdk/go-flags"

	"github.com/sliplift/sliplift/internal/meshnode/routing"
)

// TestLoad runs the story in testdata: each case is a file, flags, and either
// the effective settings that differ from the defaults or every fault.
func TestLoad(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var target Settings = &Node{}
			program := NodeProgram
			if d.HasArg("emulator") {
				target, program = &Emulator{}, EmulatorProgram
			}
			file, flagsText, _ := strings.Cut(d.Input, "flags:")
			config := filepath.Join(t.TempDir(), "settings.ini")
			if err := os.WriteFile(config, []byte(file), 0o600); err != nil {
				t.Fatal(err)
			}
			args := append([]string{"--config", config}, strings.Fields(flagsText)...)
			err := Load(program, "v0", args, target)
			if err != nil {
				return strings.ReplaceAll(err.Error(), config, "FILE")
			}
			return changed(t, target)
		})
	})
}

// changed returns the effective settings that are not defaults, after checking
// that reading them again gives the same.
func changed(t *testing.T, target Settings) string {
	t.Helper()
	effective := Effective(target)
	var again, defaults Settings = &Node{}, &Node{}
	if _, emulator := target.(*Emulator); emulator {
		again, defaults = &Emulator{}, &Emulator{}
	}
	path := filepath.Join(t.TempDir(), "effective.ini")
	if err := os.WriteFile(path, []byte(effective), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := LoadFile(path, again); err != nil {
		t.Fatalf("effective settings do not load: %v", err)
	}
	if got := Effective(again); got != effective {
		t.Fatalf("effective settings changed when read again:\n%s\nwere:\n%s", got, effective)
	}
	// Mandatory keys are missing here; the defaults are filled in all the same.
	_ = Load("", "", nil, defaults)
	var lines []string
	for line := range strings.Lines(effective) {
		if !strings.Contains(Effective(defaults), line) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// TestSchema checks that every bound parses, that every default lies within
// its bounds and that every option is described.
func TestSchema(t *testing.T) {
	for _, target := range []Settings{&Node{}, &Emulator{}} {
		parser, err := newParser("", target, &general{})
		if err != nil {
			t.Fatal(err)
		}
		if faults := parseArguments(parser, nil); len(faults) > 0 {
			t.Fatal(faults)
		}
		for _, fault := range checkBounds(parser) {
			if fault.Value != "" {
				t.Errorf("default out of bounds: %s", fault)
			}
		}
		eachOption(parser, func(option *flags.Option) {
			if option.Description == "" {
				t.Errorf("%s is not described", option.LongName)
			}
		})
	}
}

// TestRoutingPoliciesExist checks the choices against the package that has them.
func TestRoutingPoliciesExist(t *testing.T) {
	parser, err := newParser("", &Node{}, &general{})
	if err != nil {
		t.Fatal(err)
	}
	option := parser.FindOptionByLongName("routing-policy")
	for _, name := range option.Choices {
		if _, err := routing.NewPolicy(routing.PolicyName(name), 1); err != nil {
			t.Error(err)
		}
	}
	if option.Default[0] != string(routing.DefaultPolicy) {
		t.Errorf("default %q, want %q", option.Default[0], routing.DefaultPolicy)
	}
}

func TestInformation(t *testing.T) {
	for argument, want := range map[string]string{"--help": "--engine=", "--version": "sliplift-emulator v0"} {
		var information *Information
		err := Load(EmulatorProgram, "v0", []string{argument}, &Emulator{})
		if !errors.As(err, &information) || !strings.Contains(information.Text, want) {
			t.Errorf("%s: got %v, want text with %q", argument, err, want)
		}
	}
}
