package configlog

import (
	"context"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// timedTable bounds each operation on the table.
type timedTable struct {
	table   Table
	timeout time.Duration
}

func (t timedTable) Commit(ctx context.Context, transaction api.Transaction) (api.TransactionResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.table.Commit(ctx, transaction)
}

func (t timedTable) Get(ctx context.Context, key string) (api.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.table.Get(ctx, key)
}

func (t timedTable) Scan(ctx context.Context, prefix, after string, limit int) (api.ScanResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.table.Scan(ctx, prefix, after, limit)
}
