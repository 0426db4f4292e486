// Package docs checks what the pages say of the tree.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestProofsNameTestsThatExist: PROOFS.md names no test that is nowhere.
func TestProofsNameTestsThatExist(t *testing.T) {
	page, err := os.ReadFile("PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}
	functions := make(map[string]bool)
	declared := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
	err = filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range declared.FindAllSubmatch(source, -1) {
			functions[string(match[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w+`).FindAllString(string(page), -1)
	if len(named) == 0 {
		t.Fatal("no test is named")
	}
	for _, name := range named {
		if !functions[name] {
			t.Errorf("%s is nowhere", name)
		}
	}
}
