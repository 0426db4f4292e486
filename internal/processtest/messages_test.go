package processtest

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// Exit codes of the programs.
const (
	exitFailed = 1
	exitUsage  = 2
)

// TestStartRefused holds the programs to what a user relies on: the exit code
// tells a wrong command line from a failure, and the message names the key, the
// file or the port.
func TestStartRefused(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	taken, err := net.Listen("tcp", net.JoinHostPort(ownLoopback(), "0"))
	if err != nil {
		t.Skipf("no second loopback address: %v", err)
	}
	defer taken.Close()
	free := newPorts(t)
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	node := write("node.ini", nodeText(free))
	misspelt := write("misspelt.ini", nodeText(free)+"heartbeat-intervall = 1s\n")
	emulator := write("emulator.ini", "control-address = "+free.address("control")+"\n")
	missing := filepath.Join(directory, "missing.ini")
	free.release("caller", "operator", "peer", "control")

	tests := []struct {
		program   string
		arguments []string
		code      int
		message   string
	}{
		{nodeProgram, nil, exitUsage, "table-address = \"\": must be set"},
		{nodeProgram, []string{"--fast"}, exitUsage, "unknown flag `fast'"},
		{nodeProgram, []string{"--config", missing}, exitUsage, missing},
		{nodeProgram, []string{"--config", misspelt}, exitUsage, "heartbeat-intervall"},
		{nodeProgram, []string{"--config", node, "--lease-duration", "long"}, exitUsage, "`--lease-duration': time: invalid duration \"long\"; must be a duration from 1s"},
		{nodeProgram, []string{"--config", node, "--operator-address", taken.Addr().String()}, exitFailed, "operator-address: listen tcp " + taken.Addr().String()},
		{nodeProgram, []string{"--config", node, "--history-file", "/no/file"}, exitFailed, "history-file: "},
		{emulatorProgram, []string{"--fast"}, exitUsage, "unknown flag `fast'"},
		{emulatorProgram, []string{"--config", missing}, exitUsage, missing},
		{emulatorProgram, []string{"--config", emulator, "--table-address", taken.Addr().String()}, exitFailed, "table: listen tcp " + taken.Addr().String()},
		{emulatorProgram, []string{"--config", emulator, "--engine", "name=e1,adress=127.0.0.1:1"}, exitUsage, "unknown flag `adress'"},
		{toolProgram, []string{"fly"}, exitUsage, "Unknown command `fly'"},
		{toolProgram, []string{"load", "--pool", "p", "--node", free.address("nobody")}, exitFailed, "the last request that did not complete"},
		{toolProgram, []string{"demo", "--history-file", "/no/file"}, exitUsage, "--history-file: "},
	}
	free.release("nobody")
	for _, test := range tests {
		t.Run(test.program+" "+strings.Join(test.arguments, " "), func(t *testing.T) {
			arguments := test.arguments
			if test.program == toolProgram && arguments[0] == "load" {
				arguments = append(arguments, "--requests", "3")
			}
			got := runCommand(t, directory, program(test.program), arguments...)
			if got.code != test.code || !strings.Contains(got.stderr, test.message) {
				t.Errorf("exit code %d, want %d; %q not in:\n%s", got.code, test.code, test.message, got.stderr)
			}
		})
	}
}

// nodeText returns the settings of a node whose platform does not answer.
func nodeText(ports *ports) string {
	text := "name = n1\nzone = hall-a\n"
	for _, port := range []string{"caller", "operator", "peer"} {
		text += port + "-address = " + ports.address(port) + "\n"
	}
	for _, service := range services {
		text += service + "-address = " + ports.address("platform") + "\n"
	}
	return text
}

// TestNodeWithoutTableServiceSaysSo starts a node whose table service is not
// there: it runs, is not ready, says why, and stops as planned.
func TestNodeWithoutTableServiceSaysSo(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	free := newPorts(t)
	settings := filepath.Join(directory, "node.ini")
	if err := os.WriteFile(settings, []byte(nodeText(free)), 0o600); err != nil {
		t.Fatal(err)
	}
	free.release("platform")
	node := startProcess(t, "node", directory, free.take("caller", "operator", "peer"), program(nodeProgram), "--config", settings)
	eventually(t, "the log says why the node is not ready", func() error {
		log := node.log()
		for _, wanted := range []string{"the table service does not answer", "not ready", free.address("platform")} {
			if !strings.Contains(log, wanted) {
				return os.ErrNotExist
			}
		}
		return nil
	})
	node.signal(syscall.SIGTERM)
	if code, err := node.waitExit(); err != nil || code != 0 {
		t.Errorf("after SIGTERM: exit code %d, %v", code, err)
	}
}
