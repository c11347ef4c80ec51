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

// refuses reports whether an error is a refusal of the note itself.
func refuses(err error) bool {
	var faults *document.FaultsError
	var clash *ClashError
	return errors.As(err, &faults) || errors.As(err, &clash)
}

func tooOld(base, version fleet.Version) error {
	return &document.FaultsError{Faults: []document.Fault{{
		File: "release note", Path: "based-on", Kind: document.OutOfBounds, Found: fmt.Sprint(base),
		Allowed: fmt.Sprintf("a version at most %d behind the newest, which is %d; look at the state again", maxBehind, version),
	}}}
}

// wait returns when the delay has passed, or earlier with the context's error.
func wait(ctx context.Context, t timer.Service, delay time.Duration) error {
	passed := make(chan struct{})
	subscription := t.After(delay, func(time.Time) { close(passed) })
	defer subscription.Cancel()
	select {
	case <-passed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Checked is a note that could be accepted.
type Checked struct {
	// Version is the one that it was checked against.
	Version fleet.Version
	// ClashesUnchecked is true when the history could not be read.
	ClashesUnchecked bool
}

// Check returns what Publish would say of a note against what is in force at
// this router, without publishing it. It fails with *document.FaultsError or *ClashError.
func (p *Publisher) Check(ctx context.Context, d *Document) (Checked, error) {
	state := p.holder.state()
	result := Checked{Version: fleet.Version(state.GetVersion())}
	if err := CheckDocument(state, d); err != nil {
		return result, err
	}
	t := &try{Publisher: p, note: d.Message, base: fleet.Version(d.Message.GetBasedOn())}
	if t.base == 0 || t.base >= result.Version {
		return result, nil
	}
	err := t.clashes(ctx, result.Version)
	if refuses(err) {
		return result, err
	}
	result.ClashesUnchecked = err != nil
	return result, nil
}
