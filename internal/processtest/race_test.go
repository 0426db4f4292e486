//go:build race

package processtest

// buildFlags let the programs run under the race detector when the tests do.
var buildFlags = []string{"-race"}
