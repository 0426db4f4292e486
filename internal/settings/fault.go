package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with the settings.
type Fault struct {
	// Where is "FILE:LINE" for a line of a file, empty for flags, defaults and
	// checks between keys.
	Where string
	// Key is the long name of the flag, which is also the key in the file.
	Key   string
	Value string
	// Allowed says what would have been accepted.
	Allowed string
}

// String returns the fault on one line.
func (f Fault) String() string {
	text := f.Allowed
	if f.Key != "" {
		text = fmt.Sprintf("%s = %q: %s", f.Key, f.Value, f.Allowed)
	}
	if f.Where != "" {
		text = f.Where + ": " + text
	}
	return text
}

// Faults is everything wrong with the settings; it is never returned empty.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
