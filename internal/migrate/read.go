package migrate

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/query"
	"github.com/sliplift/sliplift/internal/pause"
)

// ErrNoAnswer says that a question was not answered; nothing was changed by it.
const ErrNoAnswer = errs.Tag("migrate: no answer")

// Port is the operator port of a node; operator.Client implements it.
type Port interface {
	Status(ctx context.Context) (operator.Status, error)
	Query(ctx context.Context, request operator.QueryRequest, take func(query.Result)) (query.Summary, error)
}

// reader asks a node's operator port.
type reader struct {
	port    Port
	timeout time.Duration
}

// ask runs statements that change nothing and returns a result for each.
func (r reader) ask(ctx context.Context, statements ...query.Statement) ([]query.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	source := ""
	for _, statement := range statements {
		source += statement.String() + ";"
	}
	var results []query.Result
	request := operator.QueryRequest{ID: uuid.NewString(), Statements: source}
	_, err := r.port.Query(ctx, request, func(result query.Result) { results = append(results, result) })
	if err != nil {
		return nil, ErrNoAnswer.Wrap(err)
	}
	for _, result := range results {
		if result.Problem != nil {
			return nil, ErrNoAnswer.Wrap(result.Problem)
		}
	}
	if len(results) != len(statements) {
		return nil, ErrNoAnswer.Errorf("%d results for %d statements", len(results), len(statements))
	}
	return results, nil
}

// askTables is ask for statements that are answered with tables.
func (r reader) askTables(ctx context.Context, statements ...query.Statement) ([]query.Table, error) {
	results, err := r.ask(ctx, statements...)
	if err != nil {
		return nil, err
	}
	tables := make([]query.Table, 0, len(results))
	for _, result := range results {
		if result.Table == nil {
			return nil, ErrNoAnswer.Errorf("no table for %q", result.Statement)
		}
		tables = append(tables, *result.Table)
	}
	return tables, nil
}

// revision returns the revision that the node has applied.
func (r reader) revision(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	status, err := r.port.Status(ctx)
	if err != nil {
		return 0, ErrNoAnswer.Wrap(err)
	}
	if status.Revision <= 0 {
		return 0, ErrNoAnswer.Errorf("%s has no configuration yet", status.Node)
	}
	return status.Revision, nil
}

func where(column string, operator query.Operator, value query.Value) query.Condition {
	return query.Comparison{Column: column, Operator: operator, Value: value}
}

func ofPool(table query.TableName, column, pool string) query.Show {
	return query.Show{Table: table, Where: where(column, query.OperatorEqual, query.Text(pool))}
}

// snapshot reads the pool. The revision is read first, so that it is never
// newer than the tables: what changes in between makes the next change a
// conflict and not a mistake.
func (r reader) snapshot(ctx context.Context, pool string) (Snapshot, error) {
	revision, err := r.revision(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	tables, err := r.askTables(ctx, ofPool(query.TablePools, "name", pool),
		ofPool(query.TableEngines, "pool", pool), ofPool(query.TableApplications, "pool", pool),
		ofPool(query.TableVersions, "pool", pool), query.Show{Table: query.TableDrains})
	if err != nil {
		return Snapshot{}, err
	}
	return buildSnapshot(pool, revision, tables[0], tables[1], tables[2], tables[3], tables[4])
}

func buildSnapshot(name string, revision int64, pools, engines, applications, versions, drains query.Table) (Snapshot, error) {
	if len(pools.Rows) == 0 {
		return Snapshot{}, ErrNotFound.Errorf("there is no pool %q", name)
	}
	pool := row{pools, pools.Rows[0]}
	snapshot := Snapshot{
		Pool: name, Kind: configlog.PoolKind(pool.text("kind")), Revision: revision,
		Target: pool.integer("pinned"),
	}
	if snapshot.Target == 0 {
		snapshot.Target = pool.integer("version")
	}
	members := engines
	if snapshot.Kind == configlog.PoolApplications {
		members = applications
	}
	snapshot.AsOf, snapshot.NotHeard = members.AsOf, members.NotHeard
	failures := loadErrors(versions)
	orders := standingOrders(drains)
	for _, cells := range members.Rows {
		backend := buildBackend(row{members, cells}, orders)
		if backend.Report != nil {
			backend.Report.LoadError = failures[backend.Name]
		}
		snapshot.Backends = append(snapshot.Backends, backend)
	}
	return snapshot, nil
}

func buildBackend(r row, orders map[order]bool) Backend {
	backend := Backend{Name: r.text("name"), Site: r.text("site"), Drained: r.cell("drained").AsBool()}
	backend.OwnOrder = orders[order{configlog.DrainEngine, backend.Name}]
	for _, wider := range []order{{configlog.DrainZone, r.text("zone")}, {configlog.DrainSite, backend.Site}} {
		if orders[wider] {
			backend.WiderOrder = fmt.Sprintf("%s %s", wider.scope, wider.name)
		}
	}
	for _, needed := range []string{"role", "running", "waiting", "capacity", "report_age"} {
		if r.cell(needed).IsUnknown() {
			return backend
		}
	}
	backend.Report = &Report{
		Role:    r.text("role"),
		Running: int(r.integer("running")), Waiting: int(r.integer("waiting")), Capacity: int(r.integer("capacity")),
		Version: r.integer("version"), Age: r.cell("report_age").AsDuration(),
	}
	return backend
}

// order names a standing drain order.
type order struct {
	scope configlog.DrainScope
	name  string
}

func standingOrders(drains query.Table) map[order]bool {
	standing := map[order]bool{}
	for _, cells := range drains.Rows {
		r := row{drains, cells}
		standing[order{configlog.DrainScope(r.text("scope")), r.text("name")}] = true
	}
	return standing
}

func loadErrors(versions query.Table) map[string]string {
	found := map[string]string{}
	for _, cells := range versions.Rows {
		r := row{versions, cells}
		found[r.text("engine")] = r.text("error")
	}
	return found
}

// finished sums the samples of the pool's steps that have finished, as of the
// node's clock.
func (r reader) finished(ctx context.Context, pool string) (map[string]int64, time.Time, error) {
	tables, err := r.askTables(ctx, ofPool(query.TableSteps, "pool", pool))
	if err != nil {
		return nil, time.Time{}, err
	}
	counts := map[string]int64{}
	for _, cells := range tables[0].Rows {
		step := row{tables[0], cells}
		counts[fmt.Sprintf("%s/%d", step.text("trainer"), step.integer("step"))] = step.integer("finished")
	}
	return counts, tables[0].AsOf, nil
}

// rate looks at the pool's steps twice, an interval apart, and returns the
// samples that finished each second; nil where none was seen to finish. Steps
// that are gone by the second look are not counted.
func (r reader) rate(ctx context.Context, pool string, interval time.Duration) *float64 {
	before, from, err := r.finished(ctx, pool)
	if err != nil || !pause.For(ctx, interval) {
		return nil
	}
	after, to, err := r.finished(ctx, pool)
	if err != nil || !to.After(from) {
		return nil
	}
	done := int64(0)
	for step, count := range after {
		done += max(0, count-before[step])
	}
	if done == 0 {
		return nil
	}
	rate := float64(done) / to.Sub(from).Seconds()
	return &rate
}

// row reads the cells of a row by the names of their columns. A column that the
// node does not have reads as unknown.
type row struct {
	table query.Table
	cells query.Row
}

func (r row) cell(column string) query.Value {
	if at := r.table.Column(column); at >= 0 {
		return r.cells[at]
	}
	return query.Unknown()
}

func (r row) text(column string) string   { return r.cell(column).AsText() }
func (r row) integer(column string) int64 { return int64(r.cell(column).AsNumber()) }

// unanswered tells whether the error says only that nobody answered.
func unanswered(err error) bool { return errors.Is(err, ErrNoAnswer) }
