// Package faulttest proves the product's promises under failure: it runs whole
// clusters in virtual time, injects faults at chosen moments, and has the
// history of what users and stand-ins saw judged by package history.
//
// A World is a cluster over an in-memory network inside a testing/synctest
// bubble, with trainers, applications and operators that use it. Its Network
// sees the requests that pass, so that a fault can strike at a moment of the
// protocol, such as between the commit of a manifest and its answer, instead of
// at a time. Which goroutine runs first at one moment of virtual time is not
// fixed; verdicts of stories must not hang on it.
//
// The stories are the files of testdata; story_test.go describes their
// commands. A story that proves a promise is told twice: as it stands, where the
// promise must hold and must have been exercised, and once for each of its proof
// commands with a mechanism switched off, where the checker must find the
// promise broken. So no proof passes because its checker is blind.
package faulttest
