// Package processtest proves the promises with real processes: its tests build
// the programs, run stand-ins and nodes over loopback TCP, kill them with
// SIGKILL, pause them with SIGSTOP and stop them with SIGTERM, and judge the
// joined histories of all of them with package history. A gateway runs against the
// stand-in of the users' platform, which the test itself serves.
//
// Everything that virtual time can show is shown elsewhere; here stand the few
// cases whose point is the operating system: a process that ends in the middle
// of a step, one that sleeps through its lease, ports, signals, exit codes and
// the files under examples/.
//
// A test acts at a point of the run, not at a time: a history event or the
// answer of a node triggers it. Waits poll for a condition under a generous
// limit and fail with the tail of every process's log. Each test has ports, a
// directory and processes of its own and collects every process it started.
package processtest
