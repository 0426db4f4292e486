// Package settings is the one schema of what a process is told at its start:
// the flags of slipliftd and sliplift-emulator, and the keys of their INI
// files. A key of the file is the long name of a flag; a flag overrides the
// file, the file overrides the default.
//
// The schema is the struct tags of Node and Emulator. Beside the tags of
// go-flags (long, default, choice, description) these are understood:
//
//	min, max   bounds of a number or duration, both inclusive
//	format     address (IP:port), listen (as address, port 0 allowed), name
//	mandatory  the value must not be empty
//	unit       the unit of a number, for messages and help
//
// Load reports every fault it finds at once, each with the key, the value and
// what is allowed. Keys that the schema does not hold are refused. Callers may
// rely on every bound once Load has returned nil; nothing behind it checks
// settings again. What operators change while the system runs is no setting:
// it lives in the configuration log.
package settings
