package settings

import (
	"strings"
	"time"
)

// GatewayProgram is the name of the node whose state is all in a row store.
const GatewayProgram = "sliplift-gateway"

// Gateway is what a gateway node is told at its start.
type Gateway struct {
	GatewayIdentity  `group:"Identity"`
	GatewayMachine   `group:"Machine"`
	GatewayListening `group:"Listening"`
	RowStore         `group:"Row store"`
	GatewayTiming    `group:"Timing"`
	GatewayTenants   `group:"Tenants"`
	GatewayDuties    `group:"Duties"`
	GatewayPlaces    `group:"Places"`
	GatewayLog       `group:"Log"`
}

// GatewayIdentity says who the node is and where it stands.
type GatewayIdentity struct {
	Name   string `long:"name" format:"name" mandatory:"yes" description:"name of the node, unique among all nodes; one machine keeps its name"`
	Zone   string `long:"zone" format:"name" mandatory:"yes" description:"zone that the node runs in"`
	Region string `long:"region" format:"name" description:"region that the zone belongs to"`
}

// GatewayMachine tells what the machine gives to the node.
type GatewayMachine struct {
	CPUShare float64 `long:"cpu-share" default:"1" min:"0.001" max:"1024" unit:"cores" description:"share of its cores that the node may use"`
	Cores    float64 `long:"cores" default:"1" min:"0.001" max:"1024" unit:"cores" description:"speed of a core, in usual cores"`
}

// GatewayListening holds the node's own addresses.
type GatewayListening struct {
	CallerAddress    string `long:"caller-address" format:"listen" mandatory:"yes" description:"IP:port for callers and trainers"`
	ReadyAddress     string `long:"ready-address" format:"listen" mandatory:"yes" description:"IP:port for the platform's readiness checks"`
	DirectoryAddress string `long:"directory-address" format:"listen" mandatory:"yes" description:"IP:port for callers who ask which nodes to use"`
	PeerAddress      string `long:"peer-address" format:"listen" description:"IP:port for other nodes that the store turns away; empty serves none"`
	MetricsAddress   string `long:"metrics-address" format:"listen" description:"IP:port of the metrics; empty serves none"`
}

// RowStore tells of the store that keeps the system's state.
type RowStore struct {
	StoreAddress  string  `long:"store-address" format:"address" mandatory:"yes" description:"IP:port of the row store"`
	StoreRowBytes int     `long:"store-row-bytes" default:"65536" min:"1024" max:"16777216" unit:"bytes" description:"largest value of a row"`
	StoreWrites   float64 `long:"store-writes-per-second" default:"800" min:"1" max:"1000000" unit:"calls" description:"writes a second that the store takes from all nodes together"`
	StoreReads    float64 `long:"store-reads-per-second" default:"2000" min:"1" max:"1000000" unit:"calls" description:"reads a second that the store takes from all nodes together"`
}

// GatewayTiming holds how long things take or may take.
type GatewayTiming struct {
	ConfigApply  time.Duration `long:"config-apply" default:"2s" min:"100ms" max:"1m" description:"time within which a change of the configuration has to be in force"`
	LeaseSettle  time.Duration `long:"lease-settle" default:"3s" min:"100ms" max:"1m" description:"time that has to lie between orders of two lease holders"`
	StopGrace    time.Duration `long:"stop-grace" default:"8s" min:"1s" max:"10m" description:"time that a planned stop may take"`
	ResultSettle time.Duration `long:"result-settle" default:"1s" min:"100ms" max:"1m" description:"time after which every node has to know of a result that was read"`
	KeepJobs     time.Duration `long:"keep-jobs" default:"2m" min:"1s" max:"24h" description:"time that a batch job stays readable after it was submitted; one that is not ended stays so for as long as it is open, a day at most"`
	AddressTTL   time.Duration `long:"address-ttl" default:"1s" min:"100ms" max:"1m" description:"time that callers may keep the addresses of nodes"`
}

// GatewayTenants says when callers' keys are taken.
type GatewayTenants struct {
	StrictRevoke bool          `long:"strict-revoke" description:"let no keyed request in while the configuration was not confirmed for revoke-within"`
	RevokeWithin time.Duration `long:"revoke-within" default:"5s" min:"100ms" max:"1h" description:"time within which a key that was taken away must be of no use; counts with strict-revoke"`
}

// GatewayDuties tells of calls to the platform that one node at a time makes.
type GatewayDuties struct {
	DutyAddress string        `long:"duty-address" format:"address" description:"IP:port that takes calls of duties; empty means that there are none"`
	Duties      []string      `long:"duty" format:"name" value-name:"NAME" description:"a duty that the platform asks for; may be repeated; those that this program does not know are left alone"`
	DutyCalls   float64       `long:"duty-calls-per-second" default:"10" min:"0.01" max:"1000000" unit:"calls" description:"calls a second that the platform takes from all nodes together"`
	UsageWindow time.Duration `long:"usage-window" default:"5s" min:"100ms" max:"24h" description:"length of a window of the tenants' use"`
	UsageWithin time.Duration `long:"usage-within" default:"10s" min:"100ms" max:"24h" description:"time after a window's end within which it has to be reported"`
}

// GatewayPlaces tells of zones and regions, and of back ends that are to get less or
// nothing.
type GatewayPlaces struct {
	ZoneRegions    []string      `long:"zone-region" value-name:"ZONE=REGION" description:"the region that a zone belongs to; may be repeated, one for each zone"`
	EvacuateWithin time.Duration `long:"evacuate-within" default:"0s" min:"0s" max:"1h" description:"time within which the back ends of an evacuated zone must get nothing more: work that can wait is held while the store has not confirmed the evacuations for so long; 0 holds nothing"`
	ColdOverage    float64       `long:"cold-overage" default:"1.5" min:"1" max:"100" description:"times the configured rate that a cold back end may get in a second"`
	ColdSlack      float64       `long:"cold-slack" default:"5" min:"0" max:"1000000" unit:"requests" description:"requests beyond that which a cold back end may get in a second"`
}

// Regions returns the region of each zone.
func (p GatewayPlaces) Regions() map[string]string {
	regions := make(map[string]string, len(p.ZoneRegions))
	for _, entry := range p.ZoneRegions {
		zone, region, _ := strings.Cut(entry, "=")
		regions[zone] = region
	}
	return regions
}

// zoneRegionFaults checks that each entry names a zone and a region, and each zone once.
func (p GatewayPlaces) zoneRegionFaults() Faults {
	var faults Faults
	seen := make(map[string]bool, len(p.ZoneRegions))
	for _, entry := range p.ZoneRegions {
		zone, region, found := strings.Cut(entry, "=")
		if !found || zone == "" || region == "" || seen[zone] {
			faults = append(faults, Fault{Key: "zone-region", Value: entry, Allowed: "must be ZONE=REGION, with each zone once"})
		}
		seen[zone] = true
	}
	return faults
}

// GatewayLog says what the log holds.
type GatewayLog struct {
	LogLevel  string `long:"log-level" default:"info" choice:"error" choice:"warning" choice:"info" choice:"debug" description:"least level of entries"`
	LogFormat string `long:"log-format" default:"json" choice:"text" choice:"json" description:"format of entries on standard output"`
}

// callerHolds is how many TTLs a caller may keep an address.
const callerHolds = 3

func (g *Gateway) faults() Faults {
	faults := distinctAddresses([]keyedAddress{
		{"caller-address", g.CallerAddress},
		{"ready-address", g.ReadyAddress},
		{"directory-address", g.DirectoryAddress},
		{"peer-address", g.PeerAddress},
		{"metrics-address", g.MetricsAddress},
	})
	faults = append(faults, unreachable("caller-address", g.CallerAddress)...)
	faults = append(faults, g.zoneRegionFaults()...)
	if callerHolds*g.AddressTTL >= g.StopGrace {
		faults = append(faults, Fault{Key: "address-ttl", Value: g.AddressTTL.String(), Allowed: "three of it must be less than stop-grace, so that callers hear of a stop"})
	}
	return faults
}
