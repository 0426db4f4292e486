package configlog

import (
	"fmt"
	"testing"
)

func TestReaders(t *testing.T) {
	var alive []Member
	for i := range 330 {
		alive = append(alive, Member{Name: fmt.Sprintf("n%d", i), Region: fmt.Sprintf("r%d", i%3)})
	}
	readers := map[string]int{}
	for _, member := range alive {
		if IsReader(member.Name, alive, DefaultReadersPerRegion) {
			readers[member.Region]++
		}
	}
	for _, region := range []string{"r0", "r1", "r2"} {
		if readers[region] != DefaultReadersPerRegion {
			t.Errorf("%d readers in %s", readers[region], region)
		}
	}
	if !IsReader("n1", alive[:2], 1) || !IsReader("n0", alive[:2], 1) {
		t.Error("one of two members does not read")
	}
	if !IsReader("stranger", alive, 1) {
		t.Error("a node that is not in its own view does not read")
	}
}

func TestStartingRevision(t *testing.T) {
	answer := func(revision int64, members int) statusAnswer {
		return statusAnswer{status: StatusResponse{Revision: revision, Ready: true, Members: members}}
	}
	tests := []struct {
		name    string
		known   int
		answers []statusAnswer
		highest int64
		enough  bool
	}{
		{"alone", 1, nil, 0, false},
		{"the other of two", 2, []statusAnswer{answer(4, 2)}, 4, true},
		{"one of two others", 3, []statusAnswer{answer(4, 3)}, 4, false},
		{"both of two others", 3, []statusAnswer{answer(4, 3), answer(6, 3)}, 6, true},
		{"two of four others", 5, []statusAnswer{answer(4, 5), answer(3, 5)}, 4, false},
		{"three of four others", 5, []statusAnswer{answer(4, 5), answer(3, 5), answer(5, 5)}, 5, true},
		{"a peer knows more members", 2, []statusAnswer{answer(4, 330)}, 4, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			highest, enough := startingRevision(test.known, test.answers)
			if highest.status.Revision != test.highest || enough != test.enough {
				t.Errorf("got %d, %t", highest.status.Revision, enough)
			}
		})
	}
}
