package roster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

var storyStart = time.Unix(0, 0)

// story is a cluster whose lease holder makes every change that is proposed.
type story struct {
	now    time.Time
	rules  Rules
	claims configlog.ClaimMembers
	memory *Memory
	sight  Sight
	// silent members confirm nothing.
	silent map[string]bool
}

func newStory() *story {
	return &story{now: storyStart, rules: Rules{}.withDefaults(), memory: NewMemory(), silent: map[string]bool{}}
}

// TestProposeStories tells how the list follows the members. A play is a list of
// commands; nodes are given as name/zone, and `run` prints the changes with the
// time since the story's start.
func TestProposeStories(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newStory()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var b strings.Builder
			for _, command := range strings.FieldsFunc(d.Input, func(r rune) bool { return r == ',' || r == '\n' }) {
				fields := strings.Fields(command)
				for _, argument := range fields[1:] {
					b.WriteString(s.play(t, fields[0], argument))
				}
			}
			return b.String()
		})
	})
}

func (s *story) play(t *testing.T, command, argument string) string {
	name, zone, _ := strings.Cut(argument, "/")
	states := map[string]Status{"alive": Alive, "moved": Alive, "doubtful": Doubtful, "gone": Gone}
	if status, ok := states[command]; ok {
		s.put(name, zone, status, command == "moved")
		return ""
	}
	switch command {
	case "run":
		return s.run(argument)
	case "silent", "heard":
		s.silent[name] = command == "silent"
	case "unheard":
		s.sight.Unheard = map[string]int{"none": 0, "two": 2}[argument]
	case "cut":
		s.sight.Cut = argument == "yes"
	case "begin":
		*s = *newStory()
	case "holder":
		s.memory = NewMemory()
	case "max-view-age":
		s.rules.MaxViewAge, _ = time.ParseDuration(argument)
	default:
		t.Fatalf("unknown command %s", command)
	}
	return ""
}

func (s *story) put(name, zone string, status Status, moved bool) {
	member, known := s.sight.find(name)
	if !known {
		member = Member{ClaimMember: configlog.ClaimMember{Name: name, Address: name, Zone: "a"}}
	}
	if zone != "" {
		member.Zone = zone
	}
	if moved {
		member.Address = "moved-" + name
	}
	member.Status = status
	members := slices.DeleteFunc(slices.Clone(s.sight.Members), func(m Member) bool { return m.Name == name })
	s.sight.Members = append(members, member)
	slices.SortFunc(s.sight.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

func (s *story) run(text string) string {
	var b strings.Builder
	duration, _ := time.ParseDuration(text)
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(time.Second) {
		s.memory.Observe(s.now, s.claims, s.sight)
		if s.now.Sub(storyStart)%DefaultConfirmInterval == 0 {
			s.memory.Confirm(s.now, s.rules, s.claims, s.confirmed())
		}
		change, ok := Propose(s.now, s.rules, s.claims, s.memory, s.sight)
		if !ok {
			continue
		}
		s.claims = configlog.ClaimMembers{Revision: s.claims.Revision + 1, Current: change.Current, Former: change.Former}
		fmt.Fprintf(&b, "%s: %s", s.now.Sub(storyStart), describeList(change.Current))
		for _, former := range change.Former {
			b.WriteString(", former " + describeList(former))
		}
		b.WriteString("\n")
	}
	return cmp.Or(b.String(), fmt.Sprintf("%s: no change\n", s.now.Sub(storyStart)))
}

func (s *story) confirmed() (names []string) {
	for _, member := range s.sight.Members {
		if member.Status == Alive && !s.silent[member.Name] {
			names = append(names, member.Name)
		}
	}
	return names
}

func describeList(list []configlog.ClaimMember) string {
	var names []string
	for _, member := range list {
		name := member.Name + "/" + member.Zone
		if member.Address != member.Name {
			name += "@" + member.Address
		}
		names = append(names, name)
	}
	return "[" + strings.Join(names, " ") + "]"
}
