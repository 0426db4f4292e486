// Package routetable holds the configuration that decides where a request may
// go: routes by host and path prefix, the services behind them and the limits
// of callers. A Table is immutable; decisions on it are pure functions.
package routetable

import (
	"math"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/tenant"
)

// Kind says what may be done with a route's requests.
type Kind string

const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests may run once at most.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by a series of events.
	KindStream Kind = "stream"
	// KindBatch requests submit batch jobs.
	KindBatch Kind = "batch"
)

// Split is a service's part of a route, by weight.
type Split struct {
	Service string
	Weight  float64
}

// Route is one route of the configuration.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Splits             []Split
	// Timeout is how long a request may be held.
	Timeout time.Duration
	// Target is the latency within which an answer has its full worth.
	Target time.Duration
	// MaxAttempts is the number of back ends one request may be sent to.
	MaxAttempts int
	// Priority is the rank of the route, 0 the highest.
	Priority int
	// Resumable streams may be continued by another back end.
	Resumable bool
	// SingleVersion demands one weight version for all of a sample.
	SingleVersion bool
	// ResultDue is the time from a batch job's submission by which its results are
	// due, 0 if none is.
	ResultDue time.Duration
	// MaxQueue is the time after which an item of a batch job may be given up.
	MaxQueue time.Duration
	// Public requests need no key.
	Public bool
	// Regions are those that may serve, cache and keep the route's requests.
	Regions place.Regions
}

// Service is a set of alike back ends.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	Models         []string
	// CacheTokens is the memory of one back end, in tokens, which the requests that it
	// runs share; EventTokens is how many tokens an event of a stream holds. 0 is not
	// known.
	CacheTokens, EventTokens int
	// ColdStart is how long a back end is cold after it was started during traffic, and
	// ColdPerSecond how many requests a second it bears meanwhile; 0 sets no bound.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants holds the callers' keys; nil, if no request needs one.
	Tenants *tenant.Set

	byHost map[string][]*Route
	byName map[string]*Route
}

// New returns a table over the routes; it keeps the slice.
func New(version int64, routes []Route, services []Service, limits Limits) *Table {
	table := &Table{
		Version:  version,
		Routes:   routes,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
		byName:   make(map[string]*Route, len(routes)),
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		table.byHost[host] = append(table.byHost[host], &routes[i])
		if table.byName[routes[i].Name] == nil {
			table.byName[routes[i].Name] = &routes[i]
		}
	}
	return table
}

// Match returns the route of the host whose prefix begins the path and is the
// longest, or nil.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, route := range t.byHost[strings.ToLower(host)] {
		if !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best == nil || len(route.Prefix) > len(best.Prefix) {
			best = route
		}
	}
	return best
}

// RegionsOf returns where a tenant's requests on a route may be served: in the regions of
// both. A route that is nil, and a tenant that is not known, allow every region.
func (t *Table) RegionsOf(route *Route, name string) place.Regions {
	var regions place.Regions
	if route != nil {
		regions = route.Regions
	}
	return regions.Intersect(t.Tenants.Named(name).Regions)
}

// ByName returns the route of that name, or nil.
func (t *Table) ByName(name string) *Route { return t.byName[name] }

// goldenRatio spreads successive picks evenly over the parts.
const goldenRatio = 0.6180339887498949

// Pick returns the service for the request numbered sequence of a node whose
// picks begin at offset (0 to 1). Shares match the weights over any stretch of
// requests, and nodes with different offsets do not move in step.
func (r *Route) Pick(sequence uint64, offset float64) string {
	total := 0.0
	for _, split := range r.Splits {
		total += split.Weight
	}
	_, point := math.Modf(offset + float64(sequence)*goldenRatio)
	point *= total
	for _, split := range r.Splits {
		if point < split.Weight {
			return split.Service
		}
		point -= split.Weight
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}
