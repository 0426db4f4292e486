package explain

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestStories reads logs with "log" and tells the story of an id with "explain".
func TestStories(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		log := &Log{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "log":
				log = &Log{}
				if err := log.Read(strings.NewReader(data.Input)); err != nil {
					t.Fatal(err)
				}
				return ""
			case "steps":
				var out strings.Builder
				if err := WriteSteps(&out, log.Steps()); err != nil {
					t.Fatal(err)
				}
				return out.String()
			case "explain":
				var out strings.Builder
				if err := log.Tell(data.CmdArgs[0].Key).Write(&out); err != nil {
					t.Fatal(err)
				}
				return out.String()
			}
			t.Fatalf("unknown command %q", data.Cmd)
			return ""
		})
	})
}
