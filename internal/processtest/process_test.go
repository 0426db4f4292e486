package processtest

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// waitLimit bounds every wait for a condition.
	waitLimit = 30 * time.Second
	// pollInterval is the time between two looks at a condition.
	pollInterval = 20 * time.Millisecond
	// tailLines is how much of a log a failed test shows.
	tailLines = 40
)

// process is a program that a test started.
type process struct {
	name    string
	logPath string
	command *exec.Cmd
	// ended is closed once the process is collected.
	ended chan struct{}
}

// starting is held while a process is started, and while ports are given up for
// it. A process has copies of this one's listeners until it runs its program:
// one that another test starts at that moment would keep the ports taken.
var starting sync.Mutex

// startProcess starts the program with its output in a log file of the
// directory, after it gave up the ports. The test's end kills and collects it, and shows the log's tail if
// the test failed.
func startProcess(t *testing.T, name, directory string, ports []net.Listener, path string, arguments ...string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(path, arguments...)
	command.Dir = directory
	return startProcessTo(t, name, log, ports, command)
}

// startProcessTo starts a command as startProcess does, with its output in a file of the caller's.
func startProcessTo(t *testing.T, name string, output *os.File, ports []net.Listener, command *exec.Cmd) *process {
	t.Helper()
	p := &process{name: name, logPath: output.Name(), command: command, ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = output, output
	if err := startCommand(p.command, ports); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		_ = p.command.Wait() // The exit code is read from ProcessState.
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.ended
		p.reportLog(t)
	})
	return p
}

func startCommand(command *exec.Cmd, ports []net.Listener) error {
	starting.Lock()
	defer starting.Unlock()
	for _, port := range ports {
		port.Close()
	}
	return command.Start()
}

// reportLog fails the test for data races, and shows the log of a failed test.
func (p *process) reportLog(t *testing.T) {
	log := p.log()
	if strings.Contains(log, "DATA RACE") {
		t.Errorf("%s: the race detector reported:\n%s", p.name, log)
		return
	}
	if t.Failed() {
		t.Logf("%s, the log's last lines:\n%s", p.name, tail(log))
	}
}

func (p *process) log() string {
	content, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

func tail(text string) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(signal syscall.Signal) {
	if p.running() {
		_ = p.command.Process.Signal(signal) // It may end meanwhile.
	}
}

// kill ends the process without a chance to act and collects it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// waitExit returns the exit code of a process that is to end by itself.
func (p *process) waitExit() (int, error) {
	select {
	case <-p.ended:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(waitLimit):
		return 0, fmt.Errorf("%s still runs after %s", p.name, waitLimit)
	}
}

// result is how a program ended that was run to its end.
type result struct {
	code           int
	stdout, stderr string
}

// runCommand runs a program to its end.
func runCommand(t *testing.T, directory, path string, arguments ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	command := exec.CommandContext(t.Context(), path, arguments...)
	command.Dir = directory
	command.Stdout, command.Stderr = &stdout, &stderr
	if err := startCommand(command, nil); err != nil {
		t.Fatalf("run %s: %v", path, err)
	}
	_ = command.Wait() // The exit code is read from ProcessState.
	return result{command.ProcessState.ExitCode(), stdout.String(), stderr.String()}
}

// eventually polls the condition. It fails the test when the limit has passed,
// with what the condition last said.
func eventually(t *testing.T, what string, condition func() error) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s: %v", what, waitLimit, err)
		}
		time.Sleep(pollInterval)
	}
}
