package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name; each returns the ways in which its rule was broken.
var cases = map[string]func(log *record, trouble bool) []string{
	"hangup":   hangup,
	"bigjob":   bigJob,
	"openjob":  openJob,
	"twotexts": twoTexts,
}

func main() {
	os.Exit(play())
}

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: tools2 CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	// A signal that is handled here is back at its default in the processes that are started:
	// one that whoever runs the case ignores would be ignored there as well.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	log := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	log.line("case %s, disruption: %t", os.Args[1], trouble)
	defer func() {
		if failed, of := recover().(errHarness); of {
			log.line("not run: %s", failed.cause)
			fmt.Fprintln(os.Stderr, failed.cause)
			code = exitNotRun
		}
	}()
	broken := cases[os.Args[1]](log, trouble)
	for _, how := range broken {
		log.line("BROKEN %s", how)
		fmt.Println("BROKEN", how)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	log.line("the rule held")
	fmt.Println("held")
	return exitHeld
}
