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

// senders lists the functions that make a call to another process or a client for one, with
// the check that such calls pass or the reason why they need none.
var senders = map[string]string{
	"forward.try.call":          "checked by Gate.Admit",
	"batch.run.call":            "checked by Gate.Admit",
	"batch.scoreCall.send":      "checked by Gate.Admit",
	"platform.Commander.Order":  "sends by Commander.call, which checks Commander.admit, which is Gate.Admit, and then the lease's permit",
	"platform.Commander.Report": "sends by Commander.call, which checks Commander.admit, which is Gate.Admit",
	"platform.Front.relayed":    "sends to nodes only, with a client of its own",
	"storenode.New":             "client for back ends: MustAdmit; client for nodes: cannot reach back ends",
	"upstream.NewClient":        "sends only upstream.Call values",
	"storenode.probeDialer":     "opens connections without sending data",
	"platform.Store.Commit":     "sends to the store",
	"platform.Store.List":       "sends to the store",
	"platform.Store.Watch":      "sends to the store",
	"platform.Duties.call":      "sends to the platform's interface for duties",
	"gateway.newStore":          "sends to the store",
	"gateway.newMetering":       "sends to the platform's interface for duties",
	"gateway.run":               "sends to nodes, for the store",
}

// TestSendersPassGate guards against calls to backends that bypass Gate.Admit: each
// function that can send must be listed in senders. Calls to backends set
// upstream.Call.Admit. Only calls to the store, to duties and between nodes may avoid the
// upstream client.
func TestSendersPassGate(t *testing.T) {
	found := make(map[string]string)
	for _, root := range []string{"../../gatewaynode", "../../../platform", "../../../cmd/sliplift-gateway"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			name := entry.Name()
			testSupport := strings.Contains(path, "standin") || strings.Contains(path, "rowstoretest")
			if strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") && !testSupport {
				findSenders(t, path, found)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, sender := range slices.Sorted(maps.Keys(found)) {
		if senders[sender] == "" {
			t.Errorf("%s is not listed in senders: %s", sender, found[sender])
		}
	}
	for sender := range senders {
		if found[sender] == "" {
			t.Errorf("%s is listed in senders but makes no call or client", sender)
		}
	}
}

// findSenders adds the functions of a file that make calls or clients to found.
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

// receiver returns the name of a method's receiver type followed by a dot, empty for other
// functions.
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

// sends returns the type or function by which a syntax node makes a call or a client, empty
// if it makes none.
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

// selected returns a selector expression in the form package.Name, empty for other
// expressions.
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
