package query

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// SettingSpec says what values a cluster-wide setting takes.
type SettingSpec struct {
	Key string
	// Kind is KindNumber, KindDuration, KindBool or KindText.
	Kind Kind
	// Min and Max bound a number; a duration is bounded in seconds. Both are
	// inclusive and ignored where they are equal.
	Min, Max float64
	// Whole refuses numbers with a fraction.
	Whole bool
	// Choices lists the values of a text, where not every one is allowed.
	Choices []string
	// Default is in effect while nothing is set.
	Default string
}

// SettingSpecs lists the settings that exist.
type SettingSpecs []SettingSpec

func (s SettingSpecs) find(key string) (SettingSpec, bool) {
	index := slices.IndexFunc(s, func(spec SettingSpec) bool { return spec.Key == key })
	if index < 0 {
		return SettingSpec{}, false
	}
	return s[index], true
}

func (s SettingSpecs) names() string {
	names := make([]string, 0, len(s))
	for _, spec := range s {
		names = append(names, spec.Key)
	}
	return strings.Join(names, ", ")
}

// allows tells whether the setting takes the value.
func (s SettingSpec) allows(raw string) bool {
	switch s.Kind {
	case KindNumber:
		number, err := strconv.ParseFloat(raw, 64)
		return err == nil && s.inBounds(number) && (!s.Whole || number == math.Trunc(number))
	case KindDuration:
		duration, err := time.ParseDuration(raw)
		return err == nil && s.inBounds(duration.Seconds())
	case KindBool:
		return raw == "true" || raw == "false"
	}
	return len(s.Choices) == 0 || slices.Contains(s.Choices, raw)
}

func (s SettingSpec) inBounds(number float64) bool {
	if s.Min == s.Max {
		return number == number // refuses NaN only
	}
	return number >= s.Min && number <= s.Max
}

// allowed says in words what the setting takes.
func (s SettingSpec) allowed() string {
	bounded := s.Min != s.Max
	switch {
	case s.Kind == KindNumber && bounded && s.Whole:
		return fmt.Sprintf("a whole number from %v to %v", s.Min, s.Max)
	case s.Kind == KindNumber && bounded:
		return fmt.Sprintf("a number from %v to %v", s.Min, s.Max)
	case s.Kind == KindDuration && bounded:
		return fmt.Sprintf("a duration from %v to %v", seconds(s.Min), seconds(s.Max))
	case len(s.Choices) > 0:
		return joinAlternatives(s.Choices)
	}
	return kindExamples[s.Kind]
}

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }
