package forward_test

import (
	"context"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
)

// state is a fixed configuration.
type state struct {
	table *route.Table
	pool  *turn.Pool
	// turn gives turns in place of the pool unless it is nil.
	turn func(ctx context.Context, d turn.Demand) (home.Ticket, error)
	// retries is retry.Unlimited when nil.
	retries retry.Policy
}

func (s *state) Table() *route.Table { return s.table }

func (s *state) Turn(ctx context.Context, _ fleet.ServiceID, d turn.Demand) (home.Ticket, error) {
	if s.turn != nil {
		return s.turn(ctx, d)
	}
	return home.Await(ctx, s.pool, d)
}

func (s *state) Retries(fleet.ServiceID) retry.Policy {
	if s.retries != nil {
		return s.retries
	}
	return &retry.Unlimited{}
}
