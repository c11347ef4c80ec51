package forward_test

import (
	"context"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
)

// fixedState is a RoutingState with a fixed configuration.
type fixedState struct {
	table *route.Table
	pool  *turn.Pool
	// turn replaces the pool's turns unless it is nil.
	turn func(ctx context.Context, d turn.Request) (home.Ticket, error)
	// retries is retry.Unlimited when nil.
	retries retry.Policy
}

func (s *fixedState) Table() *route.Table { return s.table }

func (s *fixedState) Turn(ctx context.Context, _ fleet.ServiceID, d turn.Request) (home.Ticket, error) {
	if s.turn != nil {
		return s.turn(ctx, d)
	}
	return home.AwaitLocal(ctx, s.pool, d)
}

func (s *fixedState) Retries(fleet.ServiceID) retry.Policy {
	if s.retries != nil {
		return s.retries
	}
	return &retry.Unlimited{}
}
