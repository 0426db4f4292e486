//go:build !race

package processtest

// buildFlags are further flags of go build.
var buildFlags []string
