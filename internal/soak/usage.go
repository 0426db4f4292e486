package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/platform/standin"
)

// usageOff is by which share of the truth a tenant's count may be off, to either side.
const usageOff = 0.05

// Metered is what a node decided of a live request of a tenant: whether it counts as begun.
type Metered struct {
	ID, Tenant, Node string
	// Evidence is what told that it began, empty if it does not count.
	Evidence string
	At       time.Time
}

func (m Metered) String() string {
	evidence := m.Evidence
	if evidence == "" {
		evidence = "not counted"
	}
	return fmt.Sprintf("%s at %s, %s (%s)", m.ID, m.Node, m.At.Format("15:04:05.000"), evidence)
}

// requestEnds are the events that tell how a request ended.
var requestEnds = []string{eventlog.RequestAnswered, eventlog.RequestRefused, eventlog.RequestFailed, eventlog.RequestLeft}

// metered returns what the node's log tells of its decisions. Requests under way in a
// process that is killed have no line, and count nowhere.
func (n *node) metered() ([]Metered, error) {
	log, err := os.Open(n.log())
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	var all []Metered
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if decided, found := meteredOf(lines.Bytes()); found {
			decided.Node = n.name
			all = append(all, decided)
		}
	}
	return all, lines.Err()
}

// meteredOf returns what a line of a log tells of a request's end, and whether it does: a
// line may be cut by the end of its process.
func meteredOf(line []byte) (Metered, bool) {
	var head struct {
		Event, Request, Tenant, Began string
		Time                          time.Time
	}
	if err := json.Unmarshal(line, &head); err != nil || head.Tenant == "" || !slices.Contains(requestEnds, head.Event) {
		return Metered{}, false
	}
	return Metered{ID: head.Request, Tenant: head.Tenant, Evidence: head.Began, At: head.Time}, true
}

// log returns the file that the node's processes write to.
func (n *node) log() string { return filepath.Join(n.directory, n.name+".log") }

// judgeMetered judges what all nodes decided.
func (s *system) judgeMetered(runs []standin.Run) {
	var all []Metered
	for _, n := range s.nodes {
		decided, err := n.metered()
		if err != nil {
			s.judge.Count("logs that could not be read")
			continue
		}
		all = append(all, decided...)
	}
	s.judge.Metered(all, runs)
}

// Metered judges which requests count as begun by those that a back end began, and keeps
// those that are wrong for Usage to name.
func (j *Judge) Metered(all []Metered, runs []standin.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ran := make(map[string]bool)
	for _, run := range runs {
		ran[run.ID] = true
	}
	counted, began := make(map[string]int), make(map[string]int)
	for _, decided := range all {
		counts := decided.Evidence != ""
		if counts {
			counted[decided.Tenant]++
		}
		if ran[decided.ID] {
			began[decided.Tenant]++
		}
		switch {
		case counts && !ran[decided.ID]:
			j.counts["requests counted that did not begin"]++
		case !counts && ran[decided.ID]:
			j.counts["requests begun that do not count"]++
		default:
			continue
		}
		j.misjudged[decided.Tenant] = append(j.misjudged[decided.Tenant], decided)
	}
	for tenant, truth := range began {
		if math.Abs(float64(counted[tenant]-truth)) > usageOff*float64(truth) {
			j.breach("reports of use: %d requests of %s count, %d began: %s", counted[tenant], tenant, truth, j.wrongOf(tenant))
		}
	}
}

// wrongOf names the requests of a tenant that count and did not begin, and the other way
// round. The lock is held.
func (j *Judge) wrongOf(tenant string) string {
	var names []string
	for _, decided := range j.misjudged[tenant] {
		names = append(names, decided.String())
	}
	return strings.Join(names, ", ")
}
