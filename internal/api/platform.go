package api

// Row is one row of the table service. Revision is the table-wide revision of
// the transaction that last wrote it; revisions only grow.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// Condition holds if the row's current revision equals Revision; zero means
// that the row must not exist.
type Condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is the body of POST /v1/table/transactions. All conditions are
// checked and all writes done in one step. Status 409 with code
// condition_failed says that nothing was written. Any other failure, or no
// answer, leaves the fate open: the caller reads the rows to learn it, which is
// why every value that matters holds the id of the transaction that wrote it.
type Transaction struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// TransactionResponse is the answer to a transaction that committed.
type TransactionResponse struct {
	Revision int64 `json:"revision"`
}

// ScanResponse is the answer to GET /v1/table/rows?prefix=P&after=KEY&limit=N,
// in key order. GET /v1/table/rows/{key} (key URL-escaped) answers with a Row.
type ScanResponse struct {
	Rows []Row `json:"rows"`
	// Revision is the table revision as of which the rows were read.
	Revision int64 `json:"revision"`
	More     bool  `json:"more"`
}

// MachineState is a machine's state in the platform's list.
type MachineState string

const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the platform's list of machines, which lags.
type Machine struct {
	// Name equals the name of the node, engine or application that runs on it.
	Name    string       `json:"name"`
	Address string       `json:"address"`
	Zone    string       `json:"zone"`
	Region  string       `json:"region"`
	Site    string       `json:"site,omitempty"`
	State   MachineState `json:"state"`
}

// MachineList is the answer to GET /v1/machines.
type MachineList struct {
	Machines []Machine `json:"machines"`
	AsOfMS   int64     `json:"as_of_unix_ms"`
}

// WeightVersion describes weights in the weight store: the answer to
// GET /v1/weights/{model}/{version}, and the body of PUT on the same path.
type WeightVersion struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// ScoreRequest is the body of POST /v1/score on the scoring service.
type ScoreRequest struct {
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	Text      string `json:"text"`
}

// ScoreResponse is the scoring service's answer.
type ScoreResponse struct {
	Score float64 `json:"score"`
}
