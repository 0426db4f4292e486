// Package cluster runs a whole system in one process: nodes, and stand-ins of
// engines, applications and the platform. Over loopback TCP it serves the demo;
// over package memnet, inside a testing/synctest bubble, it serves the proofs,
// where time is virtual and links can be cut.
//
// The nodes are the same code that slipliftd runs, with a port each for callers,
// operators and peers. The stand-ins outlive every node, and a node that is started
// again is a new incarnation with empty memory, as in production.
package cluster
