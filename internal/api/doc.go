// Package api holds the typed messages of every interface that sliplift
// serves or calls: callers and trainers, engines and applications, the
// platform's services, and operators. It has no behaviour beyond validation
// and imports no other package of the project.
//
// All bodies are JSON. Durations on the wire are integers in milliseconds and
// carry the suffix _ms. Instants are Unix milliseconds and carry the suffix
// _unix_ms; they are informational unless a comment says otherwise, because the
// machines' clocks are not synchronised.
package api
