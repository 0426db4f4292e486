package settings

import (
	"cmp"
	"fmt"
	"time"
)

// NodeProgram is the name of the node's program.
const NodeProgram = "slipliftd"

// Node is what a node is told at its start.
type Node struct {
	Identity  `group:"Identity"`
	Listening `group:"Listening"`
	Platform  `group:"Platform services"`
	Timing    `group:"Timing"`
	Limits    `group:"Limits"`
	Claims    `group:"Claims"`
	Telemetry `group:"Telemetry"`
}

// Identity says who the node is and where it stands.
type Identity struct {
	Name   string `long:"name" format:"name" mandatory:"yes" description:"name of the node, unique among all nodes and equal to the machine's name in the platform's list"`
	Zone   string `long:"zone" format:"name" mandatory:"yes" description:"zone that the node runs in"`
	Region string `long:"region" format:"name" description:"region that the zone belongs to"`
	Site   string `long:"site" format:"name" description:"site (data centre) that the zone belongs to"`
}

// Listening holds the node's own addresses and those of peers to begin with.
type Listening struct {
	CallerAddress            string `long:"caller-address" format:"listen" default:"127.0.0.1:7000" description:"IP:port for callers and trainers"`
	OperatorAddress          string `long:"operator-address" format:"listen" default:"127.0.0.1:7001" description:"IP:port for operators, health and metrics"`
	PeerAddress              string `long:"peer-address" format:"listen" default:"127.0.0.1:7002" description:"IP:port for other nodes"`
	CallerAdvertiseAddress   string `long:"caller-advertise-address" format:"address" description:"IP:port under which callers reach the node, if it differs from caller-address"`
	OperatorAdvertiseAddress string `long:"operator-advertise-address" format:"address" description:"IP:port under which operators reach the node, if it differs from operator-address"`
	PeerAdvertiseAddress     string `long:"peer-advertise-address" format:"address" description:"IP:port under which other nodes reach the node, if it differs from peer-address"`
	Seeds                    []Seed `long:"seed" value-name:"NAME=IP:PORT" description:"peer address of another node to begin with; may be repeated"`
}

// CallerAdvertised returns the address under which callers reach the node.
func (l Listening) CallerAdvertised() string {
	return cmp.Or(l.CallerAdvertiseAddress, l.CallerAddress)
}

// OperatorAdvertised returns the address under which operators reach the node.
func (l Listening) OperatorAdvertised() string {
	return cmp.Or(l.OperatorAdvertiseAddress, l.OperatorAddress)
}

// PeerAdvertised returns the address under which other nodes reach the node.
func (l Listening) PeerAdvertised() string {
	return cmp.Or(l.PeerAdvertiseAddress, l.PeerAddress)
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	TableAddress    string `long:"table-address" format:"address" mandatory:"yes" description:"IP:port of the transactional table service"`
	ObjectsAddress  string `long:"objects-address" format:"address" mandatory:"yes" description:"IP:port of the object store"`
	WeightsAddress  string `long:"weights-address" format:"address" mandatory:"yes" description:"IP:port of the weight store"`
	MachinesAddress string `long:"machines-address" format:"address" mandatory:"yes" description:"IP:port of the list of machines"`
	ScoringAddress  string `long:"scoring-address" format:"address" mandatory:"yes" description:"IP:port of the scoring service"`
}

// Timing holds how often and how long.
type Timing struct {
	LeaseDuration        time.Duration `long:"lease-duration" default:"10s" min:"1s" max:"5m" description:"validity of a control lease from its last renewal"`
	HeartbeatInterval    time.Duration `long:"heartbeat-interval" default:"1s" min:"50ms" max:"30s" description:"time between two heartbeats to a peer"`
	LoadPollInterval     time.Duration `long:"load-poll-interval" default:"500ms" min:"20ms" max:"1m" description:"time between two load reports fetched from a back end"`
	ConfigPollInterval   time.Duration `long:"config-poll-interval" default:"1s" min:"50ms" max:"1m" description:"time between two reads of the configuration log by a node that polls it"`
	MachinesPollInterval time.Duration `long:"machines-poll-interval" default:"1s" min:"50ms" max:"1m" description:"time between two reads of the list of machines"`
	StopTimeout          time.Duration `long:"stop-timeout" default:"2m" min:"1s" max:"1h" description:"longest time that a planned stop waits for work in flight"`
}

// Limits holds what the node accepts and how it spends it.
type Limits struct {
	RequestBodyLimit int64         `long:"request-body-limit" default:"8388608" min:"1024" max:"1073741824" unit:"bytes" description:"largest request body in bytes"`
	MaxDeadline      time.Duration `long:"max-deadline" default:"2m" min:"100ms" max:"1h" description:"longest deadline that a live request may ask for"`
	InFlightLimit    int           `long:"in-flight-limit" default:"1024" min:"1" max:"1000000" unit:"requests" description:"live requests in flight in the node; more are refused"`
	CallerLimit      int           `long:"caller-limit" default:"512" min:"1" max:"1000000" unit:"requests" description:"live requests in flight for one caller; more are refused"`
	RetryBudgetShare float64       `long:"retry-budget-share" default:"0.1" min:"0" max:"1" description:"retries and hedges as a share of first attempts"`
	HedgeDelay       time.Duration `long:"hedge-delay" default:"0s" min:"0s" max:"10m" description:"wait before a repeatable request is sent to a second back end too; 0s turns it off"`
	RoutingPolicy    string        `long:"routing-policy" default:"corrected" choice:"corrected" choice:"round_robin" choice:"least_loaded" choice:"power_of_two" choice:"affinity" description:"how a back end is chosen"`
}

// Claims holds how requests that must not run twice are claimed.
type Claims struct {
	ClaimReplicas int           `long:"claim-replicas" default:"3" min:"1" max:"9" unit:"nodes" description:"nodes that keep the claim of an idempotency key; odd"`
	ClaimValidity time.Duration `long:"claim-validity" default:"5m" min:"1s" max:"24h" description:"time for which a used idempotency key is remembered; a restarted node abstains from claims for so long"`
}

// Telemetry holds logs and the event history.
type Telemetry struct {
	LogLevel    string `long:"log-level" default:"info" choice:"error" choice:"warning" choice:"info" choice:"debug" description:"least severe log entries written"`
	LogFormat   string `long:"log-format" default:"text" choice:"text" choice:"json" description:"format of log entries on standard error"`
	HistoryFile string `long:"history-file" value-name:"FILE" description:"append an event history to this file as JSON lines, for sliplift check-history"`
}

// leaseHeartbeats is how many heartbeats must fit into a lease: one may be
// lost and one may be late before a holder's lease lapses.
const leaseHeartbeats = 3

func (n *Node) faults() Faults {
	var faults Faults
	if n.HeartbeatInterval*leaseHeartbeats > n.LeaseDuration {
		allowed := fmt.Sprintf("must be at most a third of lease-duration = %s", n.LeaseDuration)
		faults = append(faults, Fault{Key: "heartbeat-interval", Value: n.HeartbeatInterval.String(), Allowed: allowed})
	}
	if n.ClaimValidity < n.MaxDeadline {
		allowed := fmt.Sprintf("must be at least max-deadline = %s", n.MaxDeadline)
		faults = append(faults, Fault{Key: "claim-validity", Value: n.ClaimValidity.String(), Allowed: allowed})
	}
	if n.ClaimReplicas%2 == 0 {
		faults = append(faults, Fault{Key: "claim-replicas", Value: fmt.Sprint(n.ClaimReplicas), Allowed: "must be odd"})
	}
	seen := map[string]bool{}
	for _, seed := range n.Seeds {
		if seen[seed.Name] {
			faults = append(faults, Fault{Key: "seed", Value: seed.String(), Allowed: "each node must be named once"})
		}
		seen[seed.Name] = true
	}
	faults = append(faults, unreachable("caller-advertise-address", n.CallerAdvertised())...)
	faults = append(faults, unreachable("operator-advertise-address", n.OperatorAdvertised())...)
	faults = append(faults, unreachable("peer-advertise-address", n.PeerAdvertised())...)
	return append(faults, distinctAddresses([]keyedAddress{
		{"caller-address", n.CallerAddress},
		{"operator-address", n.OperatorAddress},
		{"peer-address", n.PeerAddress},
	})...)
}
