package note

import (
	"context"
	"errors"
	"fmt"
	"time"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/timer"
)

// isRefusal reports whether an error refuses the note itself.
func isRefusal(err error) bool {
	var faults *document.FaultsError
	var clash *ClashError
	return errors.As(err, &faults) || errors.As(err, &clash)
}

func tooOldError(base, version fleet.Version) error {
	return &document.FaultsError{Faults: []document.Fault{{
		File: "release note", Path: "based-on", Kind: document.OutOfBounds, Found: fmt.Sprint(base),
		Allowed: fmt.Sprintf("a version at most %d behind the newest, which is %d; look at the state again", maxRecordsBehind, version),
	}}}
}

// sleep waits for the delay, or until the context ends and returns its error.
func sleep(ctx context.Context, clock timer.Service, delay time.Duration) error {
	elapsed := make(chan struct{})
	subscription := clock.After(delay, func(time.Time) { close(elapsed) })
	defer subscription.Cancel()
	select {
	case <-elapsed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CheckResult is the result of checking a note that could be accepted.
type CheckResult struct {
	// Version is the version that the note was checked against.
	Version fleet.Version
	// ClashesUnchecked is true when the history could not be read.
	ClashesUnchecked bool
}

// Check checks a note as Publish would at this router's current version, without
// publishing it. It fails with *document.FaultsError or
// *ClashError.
func (p *Publisher) Check(ctx context.Context, d *Document) (CheckResult, error) {
	state := p.replica.state()
	result := CheckResult{Version: fleet.Version(state.GetVersion())}
	if err := CheckDocument(state, d); err != nil {
		return result, err
	}
	t := &publication{Publisher: p, note: d.Message, base: fleet.Version(d.Message.GetBasedOn())}
	if t.base == 0 || t.base >= result.Version {
		return result, nil
	}
	err := t.checkClashes(ctx, result.Version)
	if isRefusal(err) {
		return result, err
	}
	result.ClashesUnchecked = err != nil
	return result, nil
}
