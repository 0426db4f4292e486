package main

import (
	"fmt"
	"os"
	"time"
)

// smuggled is the id of a request that no client sends.
const smuggled = "never-sent"

// runSmuggle submits a job of two items. The path of one holds the end of a request and a
// second one. It judges whether a sampler runs a request whose id was sent by no client.
func runSmuggle([]string) int {
	s, err := newSystem()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.stop()
	if err := s.prepare(2, 2); err != nil {
		s.note("could not run: %v", err)
		return exitFailed
	}
	job := lot{Step: 0, Model: "model", MinVersion: 1, Desired: 2, Items: []item{newItem("item00", "group0", 5), newItem("item01", "group1", 5)}}
	if os.Getenv("TROUBLE") != "0" {
		job.Items[1].Path = "/jobs/3/x HTTP/1.1\r\nHost: " + callerHost + "\r\nContent-Length: 0\r\nModel: model\r\nRequest-Id: " + smuggled + "\r\n\r\nPOST " + job.Items[1].Path
	}
	s.note("path of item01: %q", job.Items[1].Path)
	if err := s.submit("job0", job); err != nil {
		// The job was refused, and nothing of it may run.
		s.note("%v", err)
	} else {
		listed, whole := s.follow("job0", time.Now().Add(stepDeadline))
		s.note("%d of 2 items listed, all: %t", len(listed), whole)
	}
	sent := map[string]bool{"item00": true, "item01": true}
	broken := false
	for _, run := range s.runs() {
		s.note("sampler %s: %s of %s", run.Sampler, run.What, run.ID)
		broken = broken || !sent[run.ID]
	}
	if broken {
		s.note("BROKEN: UNASKED: a sampler ran a request whose id was sent by no client")
		return exitBroken
	}
	s.note("held: samplers ran what was sent alone")
	return exitHeld
}
