// Command tools holds the stand-ins and the drivers of the review's scripts: a platform store
// with a registry that forgets silent samplers, a model sampler, and one driver a case.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: tools store|sampler|CASE ...")
		os.Exit(exitFailed)
	}
	commands := map[string]func([]string) int{
		"store": runStore, "sampler": runSampler, "crashes": runCrashes, "grey": runGrey, "plain": runPlain, "surplus": runSurplus, "smuggle": runSmuggle,
	}
	command, known := commands[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown:", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(command(os.Args[2:]))
}
