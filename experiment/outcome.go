package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// Outcomes are what a replay of a trace has to come to. They stand in a file
// beside the trace. A bound that is absent is not checked.
type Outcomes struct {
	// About says why the bounds are what they are.
	About string `json:"about,omitempty"`
	// Gap and LaterGap bound the fairness gap over the largest request.
	Gap      *float64 `json:"gap-multiple-at-most,omitempty"`
	LaterGap *float64 `json:"later-gap-multiple-at-most,omitempty"`
	// Utilisation bounds from below.
	Utilisation *float64 `json:"utilisation-at-least,omitempty"`
	// Control bounds bytes per second and router.
	Control *float64 `json:"control-bytes-at-most,omitempty"`
	// Answers bounds counts by reason, answered among them; a reason that is
	// not named may not occur.
	Answers map[string]Range `json:"answers,omitempty"`
	// QueueP99 bounds accounts' 99th percentile of queue time in milliseconds.
	QueueP99 map[string]float64 `json:"queue-p99-ms-at-most,omitempty"`
}

// Range bounds a count.
type Range struct {
	Least int `json:"at-least"`
	Most  int `json:"at-most"`
}

// Violation is an outcome that a replay did not come to.
type Violation struct {
	Name     string `json:"name"`
	Measured string `json:"measured"`
	Wanted   string `json:"wanted"`
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s is %s, has to be %s", v.Name, v.Measured, v.Wanted)
}

// ReadOutcomes reads outcomes, and fails on a field that there is not.
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

// Check returns where a result differs from the outcomes.
func (o Outcomes) Check(result Result) []Violation {
	var violations []Violation
	add := func(wrong bool, name, measured, wanted string) {
		if wrong {
			violations = append(violations, Violation{name, measured, wanted})
		}
	}
	most := func(name string, value float64, bound *float64) {
		add(bound != nil && value > *bound, name, fmt.Sprintf("%.4g", value), fmt.Sprintf("at most %.4g", value0(bound)))
	}
	most("gap-multiple", result.GapMultiple, o.Gap)
	most("later-gap-multiple", result.LaterGapMultiple, o.LaterGap)
	most("control-bytes", result.Control.Total, o.Control)
	add(o.Utilisation != nil && result.Utilisation < *o.Utilisation, "utilisation",
		fmt.Sprintf("%.4f", result.Utilisation), fmt.Sprintf("at least %.4f", value0(o.Utilisation)))
	violations = append(violations, o.checkAnswers(result)...)
	return append(violations, o.checkQueues(result)...)
}

func value0(bound *float64) float64 {
	if bound == nil {
		return 0
	}
	return *bound
}

func (o Outcomes) checkAnswers(result Result) []Violation {
	if o.Answers == nil {
		return nil
	}
	reasons := make(map[string]int, len(result.Answers))
	for reason := range o.Answers {
		reasons[reason] = 0
	}
	for reason, count := range result.Answers {
		reasons[reason] = count
	}
	var violations []Violation
	for _, reason := range sortedKeys(reasons) {
		bound := o.Answers[reason]
		if count := reasons[reason]; count < bound.Least || count > bound.Most {
			violations = append(violations, Violation{
				"answers." + reason, fmt.Sprint(count), fmt.Sprintf("%d to %d", bound.Least, bound.Most),
			})
		}
	}
	return violations
}

func (o Outcomes) checkQueues(result Result) []Violation {
	var violations []Violation
	seen := 0
	for _, account := range result.Accounts {
		bound, ok := o.QueueP99[string(account.Name)]
		if !ok {
			continue
		}
		seen++
		if account.Queue.P99 > bound {
			violations = append(violations, Violation{
				"queue-p99-ms." + string(account.Name), fmt.Sprintf("%.0f", account.Queue.P99), fmt.Sprintf("at most %.0f", bound),
			})
		}
	}
	if seen < len(o.QueueP99) {
		violations = append(violations, Violation{"queue-p99-ms", fmt.Sprintf("%d accounts in the trace", seen), fmt.Sprintf("%d named", len(o.QueueP99))})
	}
	return violations
}
