package pace

import (
	"math"
	"time"
)

// phase is a part of the expected course of a slowdown. The slowdown changes linearly from first to last.
type phase struct {
	// begin and end are ages of the statement.
	begin, end  time.Duration
	first, last float64
}

// slope returns the change of the slowdown per nanosecond.
func (p *phase) slope() float64 { return (p.last - p.first) / float64(p.end-p.begin) }

// at returns the slowdown at an age.
func (p *phase) at(age time.Duration) float64 {
	if p.first == p.last {
		return p.first
	}
	return p.first + p.slope()*float64(age-p.begin)
}

// work returns the usual duration of the work that is done between two ages: the integral of the inverse of the
// slowdown.
func (p *phase) work(from, to time.Duration) time.Duration {
	if p.first == p.last {
		return time.Duration(float64(to-from) / p.first)
	}
	return time.Duration(math.Log(p.at(to)/p.at(from)) / p.slope())
}

// duration returns how long it takes from an age on to do work with this usual duration. It is the inverse of work.
func (p *phase) duration(from, work time.Duration) time.Duration {
	if p.first == p.last {
		return time.Duration(float64(work) * p.first)
	}
	return time.Duration(p.at(from) * math.Expm1(p.slope()*float64(work)) / p.slope())
}

// forever is an age that no statement reaches. It leaves room for sums without an overflow.
const forever time.Duration = 1 << 62

// course is the expected course of a slowdown after a statement, by the age of the statement.
type course [4]phase

// newCourse returns the course after a statement of a process with a ratio of observed to expected times. The statement
// counts in full until the age full, then fades, and is gone at the age faded. The ratio counts as long as it is remembered.
func newCourse(stated, ratio float64, full, faded time.Duration) course {
	forgotten := max(memory, faded)
	return course{
		{0, full, stated * ratio, stated * ratio},
		{full, faded, stated * ratio, ratio},
		{faded, forgotten, ratio, ratio},
		{forgotten, forever, 1, 1},
	}
}

// at returns the slowdown at an age.
func (c course) at(age time.Duration) float64 {
	for i := range c {
		if age < c[i].end {
			return c[i].at(age)
		}
	}
	return 1
}

// work returns the usual duration of the work that is done between two ages.
func (c course) work(from, to time.Duration) time.Duration {
	var sum time.Duration
	for i := range c {
		p := &c[i]
		if p.begin >= to {
			break
		}
		if begin, end := max(from, p.begin), min(to, p.end); begin < end {
			sum += p.work(begin, end)
		}
	}
	return sum
}

// duration returns how long it takes from an age on to do work with this usual duration.
func (c course) duration(from, work time.Duration) time.Duration {
	age := from
	for _, p := range c {
		if age >= p.end {
			continue
		}
		if possible := p.work(age, p.end); possible < work {
			work -= possible
			age = p.end
			continue
		}
		return age + p.duration(age, work) - from
	}
	return age - from
}

// fallsTo returns the time from an age on until the slowdown is at most a level, or zero if it never is.
func (c course) fallsTo(from time.Duration, level float64) time.Duration {
	if c.at(from) <= level {
		return 0
	}
	for _, p := range c {
		if from >= p.end || p.last > level {
			continue
		}
		if p.first <= level {
			return max(p.begin-from, 0)
		}
		return p.begin + time.Duration((level-p.first)/p.slope()) - from
	}
	return 0
}
