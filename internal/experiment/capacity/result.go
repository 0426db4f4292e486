package capacity

// Result is what a run measured.
type Result struct {
	// Machine says where it ran: processors, load average before and after, and
	// the limit of open files.
	Machine Machine `json:"machine"`
	// Sizes holds one entry for each cluster size.
	Sizes []Size `json:"sizes"`
	// Slopes is nil where the benchmarks of the data roles were off.
	Slopes *Slopes `json:"slopes,omitempty"`
}

// Machine says where a run took place.
type Machine struct {
	Processors int    `json:"processors"`
	Go         string `json:"go"`
	LoadBefore string `json:"load_before"`
	LoadAfter  string `json:"load_after"`
	FileLimit  int    `json:"file_limit"`
}

// Size is what a cluster of one size costs and how fast it acts. Rates are
// medians over the intervals.
type Size struct {
	Nodes int `json:"nodes"`
	// Failed says why the phases that follow were not measured.
	Failed  string  `json:"failed,omitempty"`
	Shards  int     `json:"shards"`
	Load    string  `json:"load"`
	FormsMS float64 `json:"forms_ms"`
	// CorePercent is the processor time of a node as a share of one core, with
	// the node's part of the stand-ins; CoreHighest is that of the worst interval.
	CorePercent float64 `json:"core_percent"`
	CoreHighest float64 `json:"core_percent_highest"`
	// Bytes and messages are a node's, each second; every message is counted
	// once where it is sent and once where it arrives.
	MessagesOut float64 `json:"messages_out_per_s"`
	MessagesIn  float64 `json:"messages_in_per_s"`
	BytesOut    float64 `json:"bytes_out_per_s"`
	BytesIn     float64 `json:"bytes_in_per_s"`
	// Kinds breaks these down over the whole measured time.
	Kinds []KindRate `json:"kinds"`
	// MemoryBytes is a node's part of the heap and the stacks.
	MemoryBytes float64 `json:"memory_bytes"`
	Connections float64 `json:"connections"`
	OpenFiles   int     `json:"open_files"`
	// TableCalls are those of all nodes, each second.
	TableCalls  float64 `json:"table_calls_per_s"`
	TableFailed int64   `json:"table_failed"`
	// WatchPolls are the reports that a node reads each second of the back ends
	// that it uses, HolderPolls those that each shard's holder reads.
	WatchPolls  float64 `json:"watch_polls_per_s"`
	HolderPolls float64 `json:"holder_polls_per_shard_and_s"`
	// MachineReads are the readings of the machine list by all nodes, each second.
	MachineReads float64 `json:"machine_reads_per_s"`
	Changes      Spread  `json:"changes"`
	Burst        Spread  `json:"burst"`
	Kills        []Kill  `json:"kills"`
	Weights      Weights `json:"weights"`
}

// KindRate is what a node sends and receives of one kind of message, per second.
type KindRate struct {
	Kind        string  `json:"kind"`
	MessagesOut float64 `json:"messages_out_per_s"`
	MessagesIn  float64 `json:"messages_in_per_s"`
	BytesOut    float64 `json:"bytes_out_per_s"`
	BytesIn     float64 `json:"bytes_in_per_s"`
}

// Spread tells how long configuration changes took from their submission until
// the last node had applied them.
type Spread struct {
	Changes  int     `json:"changes"`
	Median   float64 `json:"median_ms"`
	Longest  float64 `json:"longest_ms"`
	Missing  int     `json:"missing"`
	NotRun   string  `json:"not_run,omitempty"`
	BytesOut float64 `json:"bytes_out_per_node_and_change,omitempty"`
}

// Kill tells what followed on the death of a node.
type Kill struct {
	Shards int `json:"shards"`
	// FirstMS and AllMS are when the first and the last node held it dead.
	FirstMS float64 `json:"first_ms"`
	AllMS   float64 `json:"all_ms"`
	// TakeoverMS is when all its shards had another holder.
	TakeoverMS float64 `json:"takeover_ms"`
	TimedOut   bool    `json:"timed_out,omitempty"`
}

// Weights tells how a weight version spread over the samplers.
type Weights struct {
	Samplers int `json:"samplers"`
	Loaded   int `json:"loaded"`
	// TookMS is counted from the submission of the version.
	TookMS float64 `json:"took_ms"`
	Orders int     `json:"orders"`
	Failed int     `json:"failed_loads"`
	// CorePercent is the mean over the nodes while the version spread.
	CorePercent float64 `json:"core_percent"`
}
