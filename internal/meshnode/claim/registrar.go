package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/google/uuid"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
)

// ErrRegister marks an error of TableRegistrar; calling again may help.
const ErrRegister = errs.Tag("claim: register")

// registrationPrefix begins the key of a replica's row.
const registrationPrefix = "claims/replicas/"

// Table is what TableRegistrar needs of the table service.
type Table interface {
	Commit(ctx context.Context, transaction api.Transaction) (api.TransactionResponse, error)
	Get(ctx context.Context, key string) (api.Row, error)
}

// TableRegistrar creates the row that proves that a node name never ran before.
// One value serves one incarnation.
type TableRegistrar struct {
	table Table
	id    string
}

// registration is the value of a replica's row.
type registration struct {
	// TransactionID tells the incarnation that created the row.
	TransactionID string `json:"transaction_id"`
}

// NewTableRegistrar returns a registrar for a new incarnation.
func NewTableRegistrar(table Table) *TableRegistrar {
	return &TableRegistrar{table: table, id: uuid.NewString()}
}

// FirstRun creates the row of the name and tells whether this incarnation was
// the one to do so. After an error the row may exist or not, and calling again
// settles it.
func (r *TableRegistrar) FirstRun(ctx context.Context, name string) (bool, error) {
	key := registrationPrefix + name
	value, err := json.Marshal(registration{TransactionID: r.id})
	if err != nil {
		return false, ErrRegister.Wrap(err)
	}
	_, commitErr := r.table.Commit(ctx, api.Transaction{
		ID:         r.id,
		Conditions: []api.Condition{{Key: key}},
		Puts:       []api.Put{{Key: key, Value: value}},
	})
	if commitErr == nil {
		return true, nil
	}
	var answer *api.Error
	if !errors.As(commitErr, &answer) || answer.Code != api.CodeConditionFailed {
		return false, ErrRegister.Wrap(commitErr)
	}
	return r.createdByUs(ctx, key)
}

// createdByUs reads who created the row: an earlier commit of ours may have
// taken effect although its answer was lost.
func (r *TableRegistrar) createdByUs(ctx context.Context, key string) (bool, error) {
	row, err := r.table.Get(ctx, key)
	if err != nil {
		return false, ErrRegister.Wrap(err)
	}
	var found registration
	if err := json.Unmarshal(row.Value, &found); err != nil {
		return false, ErrRegister.Wrap(err)
	}
	return found.TransactionID == r.id, nil
}
