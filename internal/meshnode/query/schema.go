package query

import (
	"slices"
	"strings"
)

// TableName names what SHOW can show.
type TableName string

const (
	TableNodes        TableName = "nodes"
	TableEngines      TableName = "engines"
	TableApplications TableName = "applications"
	TablePools        TableName = "pools"
	TableSteps        TableName = "steps"
	TableLeases       TableName = "leases"
	TableVersions     TableName = "versions"
	TableChanges      TableName = "changes"
	TableDrains       TableName = "drains"
	TableSettings     TableName = "settings"
	TableRegions      TableName = "regions"
	// TableExplain is the answer to EXPLAIN REQUEST.
	TableExplain TableName = "explain"
)

// Column is a named, typed column of a table.
type Column struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
}

// text, number, duration and truth make the schemas below readable.
func text(name string) Column     { return Column{Name: name, Kind: KindText} }
func number(name string) Column   { return Column{Name: name, Kind: KindNumber} }
func duration(name string) Column { return Column{Name: name, Kind: KindDuration} }
func truth(name string) Column    { return Column{Name: name, Kind: KindBool} }

// schemas holds the columns of every table, in the order in which they are
// shown. The catalog fills rows in the same order.
var schemas = map[TableName][]Column{
	TableNodes: {text("name"), text("state"), text("zone"), text("region"), text("site"), text("address"),
		number("incarnation"), number("revision"), duration("heard_ago"), truth("drained"), text("state_from")},
	TableEngines: {text("name"), text("pool"), text("zone"), text("region"), text("site"), text("role"),
		number("running"), number("waiting"), number("capacity"), number("version"), number("loading"),
		duration("report_age"), truth("drained"), text("reported_to"), text("address")},
	TableApplications: {text("name"), text("pool"), text("zone"), text("region"), text("site"), text("role"),
		number("running"), number("waiting"), number("capacity"),
		duration("report_age"), truth("drained"), text("reported_to"), text("address")},
	TablePools: {text("name"), text("kind"), text("model"), number("backends"), number("serving"), number("version"),
		number("pinned"), number("version_bound"), number("priority"), number("max_in_flight"), number("idle_weight")},
	TableSteps: {text("trainer"), number("step"), text("pool"), text("state"), text("owner"), number("epoch"),
		number("samples"), number("finished"), number("delivered"), number("acknowledged"), duration("age")},
	TableLeases: {text("shard"), text("holder"), number("epoch"), duration("expires_in")},
	TableVersions: {text("pool"), text("engine"), number("target"), number("loaded"), number("loading"),
		text("state"), text("error"), duration("report_age"), text("reported_to")},
	TableChanges: {number("revision"), text("id"), text("author"), text("change"),
		number("confirmed"), number("nodes"), text("missing")},
	TableDrains:   {text("scope"), text("name"), number("revision"), number("backends"), number("running")},
	TableSettings: {text("key"), text("value"), text("source")},
	TableRegions: {text("region"), text("site"), text("zone"), number("nodes"), number("alive"),
		number("engines"), number("applications"), number("drained")},
	TableExplain: {duration("after"), text("node"), number("attempt"), text("event"), text("backend"), text("reason")},
}

// Columns returns the columns of a table in order, nil for an unknown one.
func Columns(name TableName) []Column { return slices.Clone(schemas[name]) }

// columnIndex returns the place of a column in a list, -1 if it is not there.
func columnIndex(columns []Column, name string) int {
	return slices.IndexFunc(columns, func(c Column) bool { return strings.EqualFold(c.Name, name) })
}

// columnNames lists the names of columns for a message.
func columnNames(columns []Column) string {
	names := make([]string, 0, len(columns))
	for _, column := range columns {
		names = append(names, column.Name)
	}
	return strings.Join(names, ", ")
}
