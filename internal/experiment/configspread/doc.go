// Package configspread is a model, in virtual time, of how a configuration
// change spreads over the nodes, made to weigh two ways to tell that it is in
// force everywhere: counting confirmations, which the product does, and an
// activation moment with a bounded-delay freshness rule (IEP-98).
//
// The model has three regions, each node's exchange of revisions with a random
// peer once a second, pushes with a fan-out, readers that poll the table, and
// loss of messages. Equal arguments give equal figures; those that chose stand in
// docs/design/configuration.md.
package configspread
