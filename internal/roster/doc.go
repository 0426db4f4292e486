// Package roster keeps the configuration's list of claim members in step with
// the nodes that are alive.
package roster
