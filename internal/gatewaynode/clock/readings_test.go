package clock_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// beliefs are the packages whose bounds must count time away.
var beliefs = []string{"rowlease", "presence", "eligibility", "coldstart", "evacuation", "rowstore", "reload", "metering"}

// Why a reading of the steady clock may leave time away out.
const (
	later  = "a wait for others: one that is longer by the time away is safe"
	pace   = "a pace or a limit of a call, no belief"
	said   = "for the log or a metric alone"
	marked = "compared with a Mark, which counts time away"
)

// readings are the functions of these packages that read the steady clock by themselves.
var readings = map[string]string{
	"rowlease.Lease.admit": marked, "rowlease.Lease.adopt": later, "rowlease.Lease.note": later, "rowlease.Lease.Near": later,
	"rowlease.Lease.endAct": later, "rowlease.Lease.sinceAct": later, "rowlease.Lease.Release": later,
	"presence.Registry.apply": later, "presence.Registry.Run": pace, "presence.Registry.forget": later,
	"eligibility.Gate.Admit": "cold back ends stay cold for longer; the age of evacuations is of a view's status, which counts time away",
	"rowstore.Meter.Commit":  said, "rowstore.Meter.List": said, "rowstore.Meter.Watch": said,
	"rowstore.NewRecall": pace, "rowstore.Recall.call": pace, "rowstore.Recall.note": pace, "rowstore.Recall.suspect": pace, "rowstore.Recall.probe": pace, "rowstore.Recall.progress": pace,
	"rowstore.View.run": pace, "rowstore.View.confirm": "since when a view is healthy without a gap: a wait of others for it", "rowstore.View.lose": said, "rowstore.View.logLost": said,
	"reload.Controller.carryOut": pace, "reload.Controller.settled": later, "reload.Controller.send": "the lease's permit decides",
	"reload.Controller.awaitLoad": pace, "reload.Controller.noteAnnounced": later, "reload.Controller.beginTerm": later, "reload.Controller.noteLoad": later,
	"reload.Controller.forgetGone": later, "reload.Controller.Stop": pace, "reload.Controller.giveOrders": "the lease's permit decides",
	"reload.Controller.readResting": pace, "reload.Controller.endLoad": later, "reload.Controller.applyLoads": later,
	"metering.Reporter.begin": "windows go by the time of day; the lease's permit decides", "metering.Reporter.allowed": pace,
	"metering.Reporter.work": "windows go by the time of day; the lease's permit decides",
}

// TestReadingsThatLeaveTimeAwayOut: whoever adds a reading of the steady clock to a package
// whose bounds must count time away says here why it may leave that out, or takes a Mark.
func TestReadingsThatLeaveTimeAwayOut(t *testing.T) {
	found := make(map[string]bool)
	for _, name := range beliefs {
		files, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", name, len(files), err)
		}
		for _, path := range files {
			if !strings.HasSuffix(path, "_test.go") {
				findReadings(t, name, path, found)
			}
		}
	}
	for _, function := range slices.Sorted(maps.Keys(found)) {
		if readings[function] == "" {
			t.Errorf("%s reads the steady clock: does its bound count time away?", function)
		}
	}
	for function := range readings {
		if !found[function] {
			t.Errorf("%s no longer reads the clock", function)
		}
	}
}

func findReadings(t *testing.T, unit, path string, found map[string]bool) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range file.Decls {
		function, is := declaration.(*ast.FuncDecl)
		if !is {
			continue
		}
		ast.Inspect(function, func(node ast.Node) bool {
			if selector, is := node.(*ast.SelectorExpr); is && reads(selector) {
				found[unit+"."+owner(function)+function.Name.Name] = true
			}
			return true
		})
	}
}

// reads tells whether a selector is a reading of the steady clock.
func reads(selector *ast.SelectorExpr) bool {
	from, is := selector.X.(*ast.Ident)
	if !is {
		return false
	}
	return slices.Contains([]string{"time.Now", "time.Since", "time.Until", "clock.Now"}, from.Name+"."+selector.Sel.Name)
}

// owner returns the type that a function is a method of, with a point after it.
func owner(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	kind := function.Recv.List[0].Type
	if pointer, is := kind.(*ast.StarExpr); is {
		kind = pointer.X
	}
	return kind.(*ast.Ident).Name + "."
}
