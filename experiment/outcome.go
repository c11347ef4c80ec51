package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// Outcomes are bounds on the result of a replayed trace, stored in a file next
// to the trace. A bound that is absent is not checked.
type Outcomes struct {
	// About explains the choice of the bounds.
	About string `json:"about,omitempty"`
	// Gap and LaterGap limit Result.GapMultiple and Result.LaterGapMultiple.
	Gap      *float64 `json:"gap-multiple-at-most,omitempty"`
	LaterGap *float64 `json:"later-gap-multiple-at-most,omitempty"`
	// Utilisation is a lower bound.
	Utilisation *float64 `json:"utilisation-at-least,omitempty"`
	// Control limits control traffic, in bytes per second and router.
	Control *float64 `json:"control-bytes-at-most,omitempty"`
	// Answers bounds the counts of Result.Answers; a reason that is not listed
	// must not occur.
	Answers map[string]Range `json:"answers,omitempty"`
	// QueueP99 limits the 99th percentile of an account's queue time in
	// milliseconds.
	QueueP99 map[string]float64 `json:"queue-p99-ms-at-most,omitempty"`
}

// Range holds the inclusive bounds of a count.
type Range struct {
	Min int `json:"at-least"`
	Max int `json:"at-most"`
}

// Violation is a bound that a replay did not meet.
type Violation struct {
	Name     string `json:"name"`
	Measured string `json:"measured"`
	Wanted   string `json:"wanted"`
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s is %s, has to be %s", v.Name, v.Measured, v.Wanted)
}

// ReadOutcomes reads outcomes from JSON and rejects unknown fields.
func ReadOutcomes(r io.Reader) (Outcomes, error) {
	var outcomes Outcomes
	text, err := io.ReadAll(r)
	if err != nil {
		return outcomes, eris.Wrap(err, "can't read the outcomes")
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&outcomes); err != nil {
		return outcomes, eris.Wrap(err, "can't read the outcomes")
	}
	return outcomes, nil
}

// Check returns the bounds that a result violates.
func (o Outcomes) Check(result Result) []Violation {
	var violations []Violation
	check := func(violated bool, name, measured, wanted string) {
		if violated {
			violations = append(violations, Violation{name, measured, wanted})
		}
	}
	checkMax := func(name string, value float64, bound *float64) {
		check(bound != nil && value > *bound, name, fmt.Sprintf("%.4g", value), fmt.Sprintf("at most %.4g", valueOrZero(bound)))
	}
	checkMax("gap-multiple", result.GapMultiple, o.Gap)
	checkMax("later-gap-multiple", result.LaterGapMultiple, o.LaterGap)
	checkMax("control-bytes", result.Control.Total, o.Control)
	check(o.Utilisation != nil && result.Utilisation < *o.Utilisation, "utilisation",
		fmt.Sprintf("%.4f", result.Utilisation), fmt.Sprintf("at least %.4f", valueOrZero(o.Utilisation)))
	violations = append(violations, o.checkAnswers(result)...)
	return append(violations, o.checkQueues(result)...)
}

func valueOrZero(bound *float64) float64 {
	if bound == nil {
		return 0
	}
	return *bound
}

func (o Outcomes) checkAnswers(result Result) []Violation {
	if o.Answers == nil {
		return nil
	}
	counts := make(map[string]int, len(result.Answers))
	for reason := range o.Answers {
		counts[reason] = 0
	}
	for reason, count := range result.Answers {
		counts[reason] = count
	}
	var violations []Violation
	for _, reason := range sortedKeys(counts) {
		bound := o.Answers[reason]
		if count := counts[reason]; count < bound.Min || count > bound.Max {
			violations = append(violations, Violation{
				"answers." + reason, fmt.Sprint(count), fmt.Sprintf("%d to %d", bound.Min, bound.Max),
			})
		}
	}
	return violations
}

func (o Outcomes) checkQueues(result Result) []Violation {
	var violations []Violation
	found := 0
	for _, account := range result.Accounts {
		bound, ok := o.QueueP99[string(account.Name)]
		if !ok {
			continue
		}
		found++
		if account.Queue.P99 > bound {
			violations = append(violations, Violation{
				"queue-p99-ms." + string(account.Name), fmt.Sprintf("%.0f", account.Queue.P99), fmt.Sprintf("at most %.0f", bound),
			})
		}
	}
	if found < len(o.QueueP99) {
		violations = append(violations, Violation{"queue-p99-ms", fmt.Sprintf("%d accounts in the trace", found), fmt.Sprintf("%d named", len(o.QueueP99))})
	}
	return violations
}
