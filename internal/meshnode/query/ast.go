package query

import (
	"time"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// Statement is one of Show, ShowChange, ExplainRequest and Change. String
// returns text that parses to an equal statement.
type Statement interface {
	String() string
	statement()
}

// Show asks for a table.
type Show struct {
	Table TableName
	// Where is nil where every row is wanted.
	Where Condition
	Order []OrderBy
	// Limit is the largest number of rows; zero means all.
	Limit int
}

// ShowChange asks for the fate of a change and how far it is in force.
type ShowChange struct {
	ID string
}

// ExplainRequest asks why a request went where it went.
type ExplainRequest struct {
	RequestID string
}

// Change asks for a change of the configuration.
type Change struct {
	Action Action
	// IfRevision, where set, lets the change happen only if it is the current
	// revision.
	IfRevision *int64
	// Wait is the time to wait for the change to be in force; zero means none.
	Wait time.Duration
}

func (Show) statement()           {}
func (ShowChange) statement()     {}
func (ExplainRequest) statement() {}
func (Change) statement()         {}

// OrderBy is one sort key.
type OrderBy struct {
	Column     string
	Descending bool
}

// Condition selects rows: one of Comparison, IsUnknown, And and Or.
type Condition interface {
	String() string
	condition()
}

// Operator compares a column with a value.
type Operator string

const (
	OperatorEqual          Operator = "="
	OperatorNotEqual       Operator = "!="
	OperatorLess           Operator = "<"
	OperatorLessOrEqual    Operator = "<="
	OperatorGreater        Operator = ">"
	OperatorGreaterOrEqual Operator = ">="
)

// Comparison holds where the column's value stands so to Value. It does not
// hold where the column's value is unknown; a value that does not apply differs
// from every value.
type Comparison struct {
	Column   string
	Operator Operator
	Value    Value
}

// IsUnknown holds where the column's value is unknown, or is not if Negated.
type IsUnknown struct {
	Column  string
	Negated bool
}

// And holds where all of its two or more terms hold.
type And struct {
	Terms []Condition
}

// Or holds where one of its two or more terms holds.
type Or struct {
	Terms []Condition
}

func (Comparison) condition() {}
func (IsUnknown) condition()  {}
func (And) condition()        {}
func (Or) condition()         {}

// Action is what a Change does: one of CreatePool, AlterPool, AddBackend,
// DropBackend, DropPool, SetSetting, Drain, Resume, Pin and Unpin.
type Action interface {
	String() string
	action()
}

// PoolOptions are the settings of a pool that a statement names; nil means that
// it does not name them.
type PoolOptions struct {
	VersionBound *int64
	Priority     *int
	MaxInFlight  *int
	IdleWeight   *float64
}

// CreatePool makes a pool.
type CreatePool struct {
	Name     string
	Kind     configlog.PoolKind
	Model    string
	Options  PoolOptions
	Backends []configlog.Backend
}

// AlterPool changes options of a pool.
type AlterPool struct {
	Name    string
	Options PoolOptions
}

// AddBackend adds a back end to a pool.
type AddBackend struct {
	Pool    string
	Backend configlog.Backend
}

// DropBackend takes a back end out of a pool.
type DropBackend struct {
	Pool    string
	Backend string
}

// DropPool ends a pool.
type DropPool struct {
	Name string
}

// SetSetting sets one setting.
type SetSetting struct {
	Key   string
	Value string
}

// Drain orders that what it names takes no new work.
type Drain struct {
	Scope configlog.DrainScope
	Name  string
}

// Resume ends a Drain of the same scope and name.
type Resume struct {
	Scope configlog.DrainScope
	Name  string
}

// Pin holds a pool at a weight version.
type Pin struct {
	Pool    string
	Version int64
}

// Unpin lets a pool follow its trainers' versions again.
type Unpin struct {
	Pool string
}

func (CreatePool) action()  {}
func (AlterPool) action()   {}
func (AddBackend) action()  {}
func (DropBackend) action() {}
func (DropPool) action()    {}
func (SetSetting) action()  {}
func (Drain) action()       {}
func (Resume) action()      {}
func (Pin) action()         {}
func (Unpin) action()       {}
