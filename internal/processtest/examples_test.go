package processtest

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/sliplift/sliplift/internal/history"
)

// repository is the root of the repository.
const repository = "../.."

// shellBlocks returns the lines of each block of shell commands of the README's
// section.
func shellBlocks(t *testing.T, section string) [][]string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(repository, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, text, found := strings.Cut(string(content), "\n## "+section+"\n")
	if !found {
		t.Fatalf("README.md has no section %q", section)
	}
	text, _, _ = strings.Cut(text, "\n## ")
	var blocks [][]string
	for _, part := range strings.Split(text, "```sh\n")[1:] {
		block, _, _ := strings.Cut(part, "\n```")
		blocks = append(blocks, strings.Split(block, "\n"))
	}
	return blocks
}

// skipIfPortsTaken skips the test if a port that the examples name is taken.
func skipIfPortsTaken(t *testing.T) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(repository, "examples", "*.ini"))
	if err != nil || len(files) == 0 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range regexp.MustCompile(`127\.0\.0\.1:\d+`).FindAllString(string(content), -1) {
			listener, err := net.Listen("tcp", address)
			if err != nil {
				t.Skipf("the examples need %s, which is taken: %v", address, err)
			}
			listener.Close()
		}
	}
}

// everyVersionLoaded is a command that succeeds once the six engines have what
// the trainer's second step published.
const everyVersionLoaded = `bin/sliplift query "SHOW versions WHERE loaded = 2" | grep '^6 rows'`

// TestReadme runs the commands of the README's section on separate processes as
// they stand there, but for two things: the programs are those that TestMain
// built, and the block that measures is left out. It is the slowest test and the
// only one that -short leaves out.
func TestReadme(t *testing.T) {
	if testing.Short() {
		t.Skip("the slowest test")
	}
	skipIfPortsTaken(t)
	t.Parallel()
	blocks := shellBlocks(t, "Run it as separate processes")
	if len(blocks) != 3 {
		t.Fatalf("%d blocks of commands, want servers, use and measuring", len(blocks))
	}
	directory := t.TempDir()
	link(t, binaries, filepath.Join(directory, "bin"))
	examples, err := filepath.Abs(filepath.Join(repository, "examples"))
	if err != nil {
		t.Fatal(err)
	}
	link(t, examples, filepath.Join(directory, "examples"))

	var servers []*process
	for i, line := range blocks[0] {
		command := strings.Replace(line, "go run ./cmd/", "exec bin/", 1)
		servers = append(servers, startProcess(t, fmt.Sprintf("server-%d", i+1), directory, nil, "/bin/sh", "-c", command))
	}
	for _, line := range blocks[1] {
		if strings.HasPrefix(line, "go build ") {
			continue
		}
		runReadmeLine(t, directory, line)
	}
	runReadmeLine(t, directory, everyVersionLoaded)
	for i := len(servers) - 1; i >= 0; i-- {
		servers[i].signal(syscall.SIGTERM)
		if code, err := servers[i].waitExit(); err != nil || code != 0 {
			t.Errorf("%s after SIGTERM: exit code %d, %v", blocks[0][i], code, err)
		}
	}
	report, err := history.CheckFiles(filepath.Join(directory, "truth.jsonl"), filepath.Join(directory, "seen.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	wantHeld(t, report, append(samplePromises, history.PromiseRightAnswer, history.PromiseAtMostOnce)...)
}

func link(t *testing.T, target, name string) {
	t.Helper()
	if err := os.Symlink(target, name); err != nil {
		t.Fatal(err)
	}
}

// runReadmeLine runs a command to its end and wants exit code 0.
func runReadmeLine(t *testing.T, directory, line string) {
	t.Helper()
	// The first command comes when the servers are ready, as after a reader's
	// change of terminals.
	var last result
	eventually(t, line, func() error {
		last = runCommand(t, directory, "/bin/sh", "-c", line)
		if last.code != 0 {
			return fmt.Errorf("exit code %d\n%s%s", last.code, last.stdout, last.stderr)
		}
		return nil
	})
	t.Logf("$ %s\n%s", line, tail(last.stdout))
}
