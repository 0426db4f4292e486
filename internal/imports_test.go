// Package internal holds the packages of sliplift's programs: those of sliplift-gateway
// in gatewaynode, those of slipliftd in meshnode, what both share and the tools beside
// them. The programs share no code but the shared packages.
package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const module = "github.com/sliplift/sliplift/internal/"

// The groups of packages that belong to one program.
const (
	gatewayNode = "gatewaynode"
	meshNode    = "meshnode"
)

// shared are the packages that both programs import.
var shared = []string{"api", "history", "pause", "settings", "telemetry"}

// forbidden tells whether a package of one group must not import one of another. What
// both programs share imports neither's, its tests aside.
func forbidden(group, imported string, test bool) bool {
	switch group {
	case gatewayNode:
		return imported == meshNode
	case meshNode:
		return imported == gatewayNode
	}
	return slices.Contains(shared, group) && !test && (imported == gatewayNode || imported == meshNode)
}

// TestProgramsShareNoOtherPackages holds all imports against forbidden.
func TestProgramsShareNoOtherPackages(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		group, _, _ := strings.Cut(filepath.ToSlash(path), "/")
		test := strings.HasSuffix(path, "_test.go")
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		checked++
		for _, imported := range file.Imports {
			name, ours := strings.CutPrefix(strings.Trim(imported.Path.Value, `"`), module)
			if !ours {
				continue
			}
			if target, _, _ := strings.Cut(name, "/"); forbidden(group, target, test) {
				t.Errorf("%s imports %s", path, name)
			}
		}
		return nil
	})
	if err != nil || checked == 0 {
		t.Fatalf("%d files checked, %v", checked, err)
	}
}
