package query

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// manualPath is the operators' manual of the language.
const manualPath = "../../../docs/LANGUAGE.md"

var manualSample = regexp.MustCompile("(?s)```(sql|text)\n(.*?)```")

// TestManual proves that the statements of the manual parse and that its sample
// answers are outputs of the tests.
func TestManual(t *testing.T) {
	manual, err := os.ReadFile(manualPath)
	if err != nil {
		t.Fatal(err)
	}
	outputs := testOutputs(t)
	for _, sample := range manualSample.FindAllStringSubmatch(string(manual), -1) {
		kind, text := sample[1], sample[2]
		if kind == "text" && !strings.Contains(outputs, text) {
			t.Errorf("no test gives the answer\n%s", text)
		}
		if kind != "sql" {
			continue
		}
		if _, err := Parse(text, nil); err != nil {
			t.Errorf("%s\n%v", text, err)
		}
	}
}

func testOutputs(t *testing.T) string {
	var outputs strings.Builder
	for _, pattern := range []string{"testdata/*", "../operator/testdata/*", "../operator/catalog/testdata/*"} {
		paths, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			if info, err := os.Stat(path); err != nil || info.IsDir() {
				continue
			}
			content, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			outputs.Write(content)
		}
	}
	return outputs.String()
}
