package eligibility

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// senders are the functions that build a call to another process or make a client of
// one, and how it is decided that the call may go there.
var senders = map[string]string{
	"forward.try.call":          "asks Gate.Admit",
	"batch.run.call":            "asks Gate.Admit",
	"batch.scoreCall.send":      "asks Gate.Admit",
	"platform.Commander.Order":  "sends by Commander.call, which asks Commander.admit, Gate.Admit, and then the lease's permit",
	"platform.Commander.Report": "sends by Commander.call, which asks Commander.admit, which is Gate.Admit",
	"platform.Front.relayed":    "goes to a node, over a client of its own",
	"storenode.New":             "client of back ends: MustAdmit; client of nodes: reaches no back end",
	"upstream.NewClient":        "sends calls alone",
	"storenode.probeDialer":     "makes connections that carry nothing",
	"platform.Store.Commit":     "goes to the store",
	"platform.Store.List":       "goes to the store",
	"platform.Store.Watch":      "goes to the store",
	"platform.Duties.call":      "goes to the platform's interface for duties",
	"gateway.newStore":          "goes to the store",
	"gateway.newMetering":       "goes to the platform's interface for duties",
	"gateway.run":               "goes to nodes, for the store",
}

// TestEverySenderIsDecided: whoever adds a place that sends to a back end has to say here
// how it is decided what may go there. A call to a back end asks by upstream.Call.Admit;
// a connection past the upstream client is none of the product's but to the store, to
// duties and between nodes.
func TestEverySenderIsDecided(t *testing.T) {
	found := make(map[string]string)
	for _, root := range []string{"../../gatewaynode", "../../../platform", "../../../cmd/sliplift-gateway"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			name := entry.Name()
			scaffold := strings.Contains(path, "standin") || strings.Contains(path, "rowstoretest")
			if strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") && !scaffold {
				findSenders(t, path, found)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, place := range slices.Sorted(maps.Keys(found)) {
		if senders[place] == "" {
			t.Errorf("%s, %s: nothing says how it is decided what may be sent there", place, found[place])
		}
	}
	for place := range senders {
		if found[place] == "" {
			t.Errorf("%s no longer sends anything", place)
		}
	}
}

// findSenders notes the functions of a file that build calls or make clients.
func findSenders(t *testing.T, path string, found map[string]string) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	unit := file.Name.Name
	if unit == "main" {
		unit = "gateway"
	}
	for _, declaration := range file.Decls {
		function, is := declaration.(*ast.FuncDecl)
		if !is {
			continue
		}
		ast.Inspect(function, func(node ast.Node) bool {
			if what := sends(node); what != "" {
				found[unit+"."+receiver(function)+function.Name.Name] = fmt.Sprintf("%s makes %s", files.Position(node.Pos()), what)
			}
			return true
		})
	}
}

// receiver returns the type that a function is a method of, with a point after it.
func receiver(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	kind := function.Recv.List[0].Type
	if pointer, is := kind.(*ast.StarExpr); is {
		kind = pointer.X
	}
	if name, is := kind.(*ast.Ident); is {
		return name.Name + "."
	}
	return ""
}

// sends tells what a node of a syntax tree makes that sends, empty if nothing.
func sends(node ast.Node) string {
	switch n := node.(type) {
	case *ast.CompositeLit:
		if name := selected(n.Type); slices.Contains([]string{"upstream.Call", "http.Client", "http.Transport", "net.Dialer"}, name) {
			return name
		}
	case *ast.CallExpr:
		name := selected(n.Fun)
		if slices.Contains([]string{"upstream.NewClient", "net.Dial", "net.DialTimeout", "http.Get", "http.Post", "http.NewRequest", "http.NewRequestWithContext", "sling.New"}, name) {
			return name
		}
	}
	return ""
}

func selected(expression ast.Expr) string {
	selector, is := expression.(*ast.SelectorExpr)
	if !is {
		return ""
	}
	if from, is := selector.X.(*ast.Ident); is {
		return from.Name + "." + selector.Sel.Name
	}
	return ""
}
