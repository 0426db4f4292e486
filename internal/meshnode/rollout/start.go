package rollout

import (
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// Next returns the attempts to start now, up to the concurrency.
func (l *Ledger) Next(now time.Time) []Attempt {
	var attempts []Attempt
	if l.stopped {
		return nil
	}
	for place := range l.samples {
		if l.waiting == 0 || !l.mayStart() {
			break
		}
		index := l.indexAt(place)
		entry := &l.samples[index]
		if entry.state != sampleWaiting || entry.notBefore.After(now) {
			continue
		}
		attempts = append(attempts, l.start(index, now))
	}
	if l.waiting == 0 {
		attempts = append(attempts, l.nextSecond(now)...)
	}
	return attempts
}

// indexAt returns the index that starts at that place of the order.
func (l *Ledger) indexAt(place int) int {
	if l.config.Order == nil {
		return place
	}
	return l.config.Order[place]
}

// nextSecond starts second attempts of indexes that have run for long.
func (l *Ledger) nextSecond(now time.Time) []Attempt {
	if l.config.SecondAfter <= 0 {
		return nil
	}
	var slow []int
	for _, number := range l.runningNumbers() {
		attempt := l.running[number]
		if l.samples[attempt.index].attempts == 1 && now.Sub(attempt.started) >= l.config.SecondAfter {
			slow = append(slow, attempt.index)
		}
	}
	var attempts []Attempt
	for _, index := range slow {
		if !l.mayStart() {
			break
		}
		attempts = append(attempts, l.start(index, now))
	}
	return attempts
}

func (l *Ledger) mayStart() bool {
	return len(l.running) < l.config.Concurrency && l.lastNumber < attemptsPerEpoch-1
}

func (l *Ledger) start(index int, now time.Time) Attempt {
	priority := api.PriorityTraining
	if l.waiting <= int(l.config.TailShare*float64(l.config.Samples)) {
		priority = api.PriorityStepTail
	}
	entry := &l.samples[index]
	if entry.state == sampleWaiting {
		l.waiting--
		entry.state = sampleRunning
	}
	entry.attempts++
	l.lastNumber++
	number := l.lastNumber
	if !l.config.Faults.ReuseAttempts {
		number += int(l.config.Epoch) * attemptsPerEpoch
	}
	l.running[number] = &runningAttempt{index: index, started: now}
	return Attempt{Index: index, Number: number, Priority: priority, MinVersion: l.MinVersion()}
}

// NextStart returns when Next should be asked again though nothing else
// happened, and false where there is no such time.
func (l *Ledger) NextStart() (time.Time, bool) {
	earliest := time.Time{}
	if l.stopped || !l.mayStart() {
		return earliest, false
	}
	consider := func(at time.Time) {
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	for index := range l.samples {
		if l.samples[index].state == sampleWaiting {
			consider(l.samples[index].notBefore)
		}
	}
	if l.waiting == 0 && l.config.SecondAfter > 0 {
		for _, attempt := range l.running {
			if l.samples[attempt.index].attempts == 1 {
				consider(attempt.started.Add(l.config.SecondAfter))
			}
		}
	}
	return earliest, !earliest.IsZero()
}
