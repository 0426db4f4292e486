package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Names of the programs.
const (
	nodeProgram     = "slipliftd"
	emulatorProgram = "sliplift-emulator"
	gatewayProgram  = "sliplift-gateway"
	toolProgram     = "sliplift"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "sliplift-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binaries = filepath.Join(directory, "bin")
	arguments := append([]string{"build"}, buildFlags...)
	arguments = append(arguments, "-o", binaries+string(filepath.Separator), "../../cmd/...")
	if output, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

func program(name string) string { return filepath.Join(binaries, name) }
