package storeclient

import (
	"context"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
)

// ErrUncertain marks an error of a call whose effect may have happened: the
// answer was lost, late or not understood.
const ErrUncertain = errs.Tag("platform: effect uncertain")

// Table is the platform's transactional table service. A definite answer other
// than success is an *api.Error (condition_failed, not_found, rate_limited:
// nothing was written); every other error is ErrUncertain.
type Table interface {
	Commit(ctx context.Context, transaction api.Transaction) (api.TransactionResponse, error)
	Get(ctx context.Context, key string) (api.Row, error)
	// Scan returns rows whose key starts with prefix and is greater than after,
	// in key order, at most limit of them.
	Scan(ctx context.Context, prefix, after string, limit int) (api.ScanResponse, error)
}

// Objects is the platform's object store. Objects are written whole.
type Objects interface {
	PutObject(ctx context.Context, key string, content []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
}

// Machines is the platform's list of machines, which lags behind the truth.
type Machines interface {
	Machines(ctx context.Context) (api.MachineList, error)
}

// Scorer is the scoring service.
type Scorer interface {
	Score(ctx context.Context, request api.ScoreRequest) (api.ScoreResponse, error)
}

// Weights is the platform's weight store; trainers publish to it.
type Weights interface {
	PutWeights(ctx context.Context, version api.WeightVersion) error
	GetWeights(ctx context.Context, model string, version int64) (api.WeightVersion, error)
}
