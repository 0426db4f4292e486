package faulttest

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/history"
)

var (
	verbose   = flag.Bool("faulttest.log", false, "write the nodes' logs to standard error")
	directory = flag.String("faulttest.stories", "testdata", "directory of the stories")
)

// TestStories tells the stories of testdata. The commands of a file are:
//
//	proof promise=N off=(MECHANISM,...)   tell the story again without these
//	      mechanisms and require that promise N is broken; before start
//	start [nodes= engines= previews= bookings= tokens= spread= service=
//	      capacity= queue= validity= hedge=]
//	train [trainer= node= steps= prompts= samples= tokens= bound= pull=]
//	take-over node= [trainer=]            by a standby that pulls the first step
//	publish version= [trainer=]
//	send pool= caller= [node= rate= count= attempts= retry= deadline= tokens=
//	      repeatable]
//	operate [by=nN] [lasting=] [within=]  statements of the operators' language;
//	      a drain must take effect within that time
//	race                                  statements at once, by different nodes;
//	      CURRENT stands for the newest revision
//	kill|restart|stop|freeze|thaw|isolate|rejoin NODE
//	isolate NODE but=(HOST,...)           all links of a node but these
//	cut A B, heal A B                     links between hosts
//	fault TARGET KIND [count= delay= lasting= probability=], mend [TARGET]
//	leaving BACKEND [by=list|report]
//	versions                              prints those of the engines
//	wait DURATION, finish, judge PROMISE...
//
// kill, stop, freeze, isolate, cut and fault wait for a moment where they have
// before= or after= with an action of trigger.go, of= with its host and count=.
// NODE may then be left out, which stands for the host that acts; thaw without
// NODE thaws all.
//
// judge prints the verdicts on the named promises, and beside them only what
// was broken or went wrong.
func TestStories(t *testing.T) {
	datadriven.Walk(t, *directory, func(t *testing.T, path string) {
		t.Parallel()
		told := &script{}
		synctest.Test(t, func(t *testing.T) {
			s := &story{script: told}
			defer s.close()
			datadriven.RunTest(t, path, s.run)
		})
		for _, proof := range told.proofs {
			t.Run("without "+strings.Join(proof.off, " and "), func(t *testing.T) { proveBroken(t, told, proof) })
		}
	})
}

// script is what a file tells.
type script struct {
	commands []*datadriven.TestData
	proofs   []proof
}

// proof is a mechanism without which a promise is broken.
type proof struct {
	promise history.Promise
	off     []string
}

func proveBroken(t *testing.T, told *script, proof proof) {
	synctest.Test(t, func(t *testing.T) {
		s := &story{off: proof.off}
		defer s.close()
		for _, command := range told.commands {
			s.run(t, command)
		}
		s.logHistory(t)
		verdict := s.world.Judge().Verdicts[proof.promise-1]
		if verdict.State != history.StateBroken {
			t.Errorf("promise %d is %s without %s: the proof proves nothing", proof.promise, verdict.State, strings.Join(proof.off, ", "))
		}
		for _, violation := range verdict.Violations[:min(1, len(verdict.Violations))] {
			t.Logf("as it must: %s", violation.Message)
		}
	})
}

// story is one telling.
type story struct {
	// script gets the commands; nil while they are told again.
	script *script
	off    []string
	world  *World
}

func (s *story) close() {
	if s.world != nil {
		s.world.Close()
	}
}

var commands = map[string]func(*story, *testing.T, *datadriven.TestData) string{
	"proof": (*story).proof, "start": (*story).start, "train": (*story).train, "publish": (*story).publish,
	"send": (*story).send, "take-over": (*story).takeOver, "operate": (*story).operate, "race": (*story).race, "restart": (*story).restart,
	"thaw": (*story).thaw, "rejoin": (*story).rejoin, "heal": (*story).heal, "mend": (*story).mend,
	"leaving": (*story).leaving, "wait": (*story).wait, "versions": (*story).versions, "finish": (*story).finish, "judge": (*story).judge,
	"kill": (*story).strike, "stop": (*story).strike, "freeze": (*story).strike, "isolate": (*story).strike,
	"cut": (*story).strike, "fault": (*story).strike,
}

func (s *story) run(t *testing.T, d *datadriven.TestData) string {
	command, known := commands[d.Cmd]
	if !known {
		d.Fatalf(t, "no command %s", d.Cmd)
	}
	if s.script != nil {
		kept := *d
		s.script.commands = append(s.script.commands, &kept)
	}
	return command(s, t, d)
}

func (s *story) proof(t *testing.T, d *datadriven.TestData) string {
	if s.script == nil {
		return ""
	}
	var promise int
	d.ScanArgs(t, "promise", &promise)
	p := proof{promise: history.Promise(promise)}
	off, _ := d.Arg("off")
	p.off = off.Vals
	if _, err := Without(p.off...); err != nil {
		d.Fatalf(t, "%v", err)
	}
	s.script.proofs = append(s.script.proofs, p)
	return ""
}

func (s *story) start(t *testing.T, d *datadriven.TestData) string {
	config := DefaultConfig()
	d.MaybeScanArgs(t, "nodes", &config.Nodes)
	d.MaybeScanArgs(t, "engines", &config.Engines)
	d.MaybeScanArgs(t, "previews", &config.Previews)
	d.MaybeScanArgs(t, "bookings", &config.Bookings)
	d.MaybeScanArgs(t, "capacity", &config.Capacity)
	d.MaybeScanArgs(t, "queue", &config.QueueLimit)
	config.MedianTokens = float(t, d, "tokens", config.MedianTokens)
	config.Spread = float(t, d, "spread", config.Spread)
	config.ServiceTime = duration(t, d, "service", config.ServiceTime)
	config.ClaimValidity = duration(t, d, "validity", config.ClaimValidity)
	config.Hedge = duration(t, d, "hedge", config.Hedge)
	faults, err := Without(s.off...)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	config.Faults = faults
	if *verbose {
		config.Log = io.Writer(os.Stderr)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	world, err := NewWorld(ctx, config)
	s.world = world
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return ""
}

const trainerTimeout = 3 * time.Minute

func (s *story) train(t *testing.T, d *datadriven.TestData) string {
	config := StepConfig{
		Trainer: "trainer", FirstNode: 1, Steps: 1, Prompts: 8, SamplesPerPrompt: 2, MaxTokens: 1000, VersionBound: 2,
		Timeout: trainerTimeout,
	}
	d.MaybeScanArgs(t, "trainer", &config.Trainer)
	d.MaybeScanArgs(t, "node", &config.FirstNode)
	d.MaybeScanArgs(t, "steps", &config.Steps)
	d.MaybeScanArgs(t, "prompts", &config.Prompts)
	d.MaybeScanArgs(t, "samples", &config.SamplesPerPrompt)
	d.MaybeScanArgs(t, "tokens", &config.MaxTokens)
	d.MaybeScanArgs(t, "bound", &config.VersionBound)
	d.MaybeScanArgs(t, "pull", &config.PullLimit)
	s.world.Train(config)
	return ""
}

func (s *story) publish(t *testing.T, d *datadriven.TestData) string {
	trainer, version := "trainer", int64(0)
	d.MaybeScanArgs(t, "trainer", &trainer)
	d.ScanArgs(t, "version", &version)
	ctx, cancel := context.WithTimeout(t.Context(), duration(t, d, "lasting", time.Minute))
	defer cancel()
	if err := s.world.Publish(ctx, trainer, version); err != nil {
		return err.Error()
	}
	return ""
}

func (s *story) takeOver(t *testing.T, d *datadriven.TestData) string {
	trainer, number := "trainer", 0
	d.MaybeScanArgs(t, "trainer", &trainer)
	d.ScanArgs(t, "node", &number)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := s.world.TakeOver(ctx, trainer, number); err != nil {
		return err.Error()
	}
	return ""
}

func (s *story) send(t *testing.T, d *datadriven.TestData) string {
	config := TrafficConfig{FirstNode: 1, Rate: 20, Attempts: 5, Retry: 200 * time.Millisecond, Deadline: 10 * time.Second, MaxTokens: 200}
	d.ScanArgs(t, "pool", &config.Pool)
	d.ScanArgs(t, "caller", &config.Caller)
	d.MaybeScanArgs(t, "node", &config.FirstNode)
	d.MaybeScanArgs(t, "count", &config.Requests)
	d.MaybeScanArgs(t, "attempts", &config.Attempts)
	d.MaybeScanArgs(t, "tokens", &config.MaxTokens)
	config.Rate = float(t, d, "rate", config.Rate)
	config.Retry = duration(t, d, "retry", config.Retry)
	config.Deadline = duration(t, d, "deadline", config.Deadline)
	config.Repeatable = d.HasArg("repeatable")
	s.world.Send(config)
	return ""
}

// operate prints the fate of each statement.
func (s *story) operate(t *testing.T, d *datadriven.TestData) string {
	by := ""
	d.MaybeScanArgs(t, "by", &by)
	ctx, cancel := context.WithTimeout(t.Context(), duration(t, d, "lasting", time.Minute))
	defer cancel()
	var out strings.Builder
	for statement := range strings.Lines(d.Input) {
		limit := duration(t, d, "within", drainLimit)
		fmt.Fprintln(&out, s.world.operators.ChangeWithin(ctx, operatorName, by, strings.TrimSpace(statement), limit))
	}
	return out.String()
}

// race prints the fates in alphabetical order: who wins is not fixed.
func (s *story) race(t *testing.T, d *datadriven.TestData) string {
	current := fmt.Sprint(s.world.Revision())
	statements := strings.Split(strings.ReplaceAll(strings.TrimSpace(d.Input), "CURRENT", current), "\n")
	fates := make(chan string, len(statements))
	for i, statement := range statements {
		by := fmt.Sprintf("n%d", i%s.world.config.Nodes+1)
		go func() { fates <- string(s.world.operators.Change(t.Context(), by+"-operator", by, statement)) }()
	}
	var all []string
	for range statements {
		all = append(all, <-fates)
	}
	slices.Sort(all)
	return strings.Join(all, "\n")
}

func (s *story) restart(t *testing.T, d *datadriven.TestData) string {
	for _, node := range d.CmdArgs {
		if err := s.world.RestartNode(node.Key); err != nil {
			d.Fatalf(t, "%v", err)
		}
	}
	return ""
}

func (s *story) thaw(_ *testing.T, d *datadriven.TestData) string {
	frozen := []string{argument(d, 0)}
	if frozen[0] == "" {
		frozen = s.world.network.Frozen()
	}
	for _, node := range frozen {
		s.world.ThawNode(node)
	}
	return ""
}

func (s *story) rejoin(_ *testing.T, d *datadriven.TestData) string {
	s.world.RejoinNode(d.CmdArgs[0].Key)
	return ""
}

func (s *story) heal(_ *testing.T, d *datadriven.TestData) string {
	s.world.network.Heal(d.CmdArgs[0].Key, d.CmdArgs[1].Key)
	return ""
}

func (s *story) mend(_ *testing.T, d *datadriven.TestData) string {
	s.world.Mend(argument(d, 0))
	return ""
}

func (s *story) leaving(t *testing.T, d *datadriven.TestData) string {
	by := "report"
	d.MaybeScanArgs(t, "by", &by)
	if by == "list" {
		s.world.LeaveByList(d.CmdArgs[0].Key)
		return ""
	}
	s.world.LeaveByReport(d.CmdArgs[0].Key)
	return ""
}

func (s *story) wait(t *testing.T, d *datadriven.TestData) string {
	pause, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	time.Sleep(pause)
	return ""
}

func (s *story) versions(t *testing.T, _ *datadriven.TestData) string {
	return fmt.Sprintln(s.world.EngineVersions(t.Context()))
}

func (s *story) finish(*testing.T, *datadriven.TestData) string {
	s.world.Finish()
	return ""
}

func (s *story) judge(t *testing.T, d *datadriven.TestData) string {
	report := s.world.Judge()
	var named []history.Promise
	var out strings.Builder
	for _, argument := range d.CmdArgs {
		var number int
		if _, err := fmt.Sscan(argument.Key, &number); err != nil {
			d.Fatalf(t, "promise %s: %v", argument.Key, err)
		}
		verdict := report.Verdicts[number-1]
		named = append(named, verdict.Promise)
		fmt.Fprintf(&out, "%d %s: %s\n", number, verdict.Name, verdict.State)
	}
	for _, verdict := range report.Verdicts {
		if verdict.State != history.StateBroken {
			continue
		}
		if !slices.Contains(named, verdict.Promise) {
			fmt.Fprintf(&out, "%d %s: broken too\n", verdict.Promise, verdict.Name)
		}
		if s.script != nil {
			t.Logf("promise %d: %s", verdict.Promise, verdict.Violations[0].Message)
		}
	}
	if s.script != nil && *verbose {
		var table strings.Builder
		_ = report.WriteTable(&table)
		t.Logf("\n%s", &table)
	}
	for _, note := range s.world.Notes() {
		fmt.Fprintf(&out, "%s\n", note)
	}
	if pending := s.world.network.Pending(); pending > 0 {
		fmt.Fprintf(&out, "%d faults never struck\n", pending)
	}
	return out.String()
}

// logHistory writes the history into the test's log where that is asked for.
func (s *story) logHistory(t *testing.T) {
	if !*verbose {
		return
	}
	for _, event := range s.world.sink.Events() {
		line, err := json.Marshal(event)
		if err != nil {
			t.Error(err)
		}
		t.Logf("%s", line)
	}
	for _, note := range s.world.Notes() {
		t.Log(note)
	}
}

// argument returns the i-th argument, empty if there is none.
func argument(d *datadriven.TestData, i int) string {
	if i >= len(d.CmdArgs) || len(d.CmdArgs[i].Vals) > 0 {
		return ""
	}
	return d.CmdArgs[i].Key
}

func duration(t *testing.T, d *datadriven.TestData, key string, otherwise time.Duration) time.Duration {
	text := ""
	if !d.MaybeScanArgs(t, key, &text) {
		return otherwise
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return value
}

func float(t *testing.T, d *datadriven.TestData, key string, otherwise float64) float64 {
	text, value := "", otherwise
	if d.MaybeScanArgs(t, key, &text) {
		if _, err := fmt.Sscan(text, &value); err != nil {
			d.Fatalf(t, "%s: %v", key, err)
		}
	}
	return value
}
