package claim

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/platform"
	"nutmeglock.example/nutmeglock/rendezvous"
)

const (
	// CollectMethod is the call between routers that carries a transaction.
	CollectMethod = "claim-collect"
	// CollectDelay is the delay of the Group of a large fleet's collector.
	// Eight of them commit at most 200 times a second together.
	CollectDelay = 40 * time.Millisecond
	// collectors is how many routers commit for a large fleet.
	collectors = 8
	// smallFleet is up to how many routers each commits for itself: at 16, with
	// two writes a claim and a group each 5 ms, a hundred claims a second are
	// at most 200 writes.
	smallFleet = 16
	// collectTimeout bounds the wait for a collector, which answers within
	// CollectDelay, a commit and a round trip unless it is gone.
	collectTimeout = 500 * time.Millisecond
)

// Peers reaches the other routers.
type Peers interface {
	// Routers returns the live routers but this one.
	Routers() []fleet.RouterID
	// Call calls a method of another router.
	Call(ctx context.Context, to fleet.RouterID, method string, params, result any) error
}

// Collected is a platform.Table that sends transactions on one row to a router
// that collects those of many, once the fleet is large.
//
// At 460 routers and 690 claims a second a router has three writes a second,
// and no group of its own to speak of; the fleet would make some 1,400 commits
// a second. Which router collects is nobody's agreement: two that believe they
// do only make smaller groups. A collector that does not answer is passed by,
// and the same transaction committed here, which settles what became of it,
// because each row names the attempt that wrote it.
type Collected struct {
	platform.Table
	Self  fleet.RouterID
	Peers Peers
	// Group commits what this router has to commit, its own and others'.
	Group *Group
}

// collectRequest is a transaction that checks and writes one row.
type collectRequest struct {
	Key     platform.Key        `json:"key"`
	Version platform.RowVersion `json:"version"`
	Value   []byte              `json:"value"`
}

type verdict string

const (
	applied     verdict = "applied"
	conflicting verdict = "conflict"
	unavailable verdict = "unavailable"
	indefinite  verdict = "indefinite"
)

type collectReply struct {
	Verdict verdict             `json:"verdict"`
	Found   platform.RowVersion `json:"found,omitempty"`
	Cause   string              `json:"cause,omitempty"`
}

// Commit applies a transaction. It fails as the table does.
func (c *Collected) Commit(ctx context.Context, txn platform.Txn) error {
	request, ok := oneRow(txn)
	to := c.collector(request.Key)
	if !ok || to == c.Self {
		return c.Group.Commit(ctx, txn)
	}
	callCtx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var reply collectReply
	if err := c.Peers.Call(callCtx, to, CollectMethod, request, &reply); err == nil {
		return reply.error(request)
	}
	return definiteOnly(c.Group.Commit(ctx, txn))
}

// definiteOnly weakens an error of a second commit of the same transaction:
// that the second had no effect says nothing of the first.
func definiteOnly(err error) error {
	var none *platform.UnavailableError
	if errors.As(err, &none) {
		return &platform.IndefiniteError{Operation: none.Operation, Cause: err}
	}
	return err
}

// Serve commits a transaction for another router. Register it under
// CollectMethod.
func (c *Collected) Serve(ctx context.Context, params json.RawMessage) (any, error) {
	var request collectRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode claim")
	}
	return replyTo(c.Group.Commit(ctx, request.txn())), nil
}

func oneRow(txn platform.Txn) (collectRequest, bool) {
	if len(txn.Checks) != 1 || len(txn.Writes) != 1 || txn.Writes[0].Delete || txn.Checks[0].Key != txn.Writes[0].Key {
		return collectRequest{}, false
	}
	return collectRequest{Key: txn.Checks[0].Key, Version: txn.Checks[0].Version, Value: txn.Writes[0].Value}, true
}

func (r collectRequest) txn() platform.Txn {
	return platform.Txn{
		Checks: []platform.Check{{Key: r.Key, Version: r.Version}},
		Writes: []platform.Write{{Key: r.Key, Value: r.Value}},
	}
}

func replyTo(err error) collectReply {
	var (
		conflict *platform.ConflictError
		none     *platform.UnavailableError
	)
	switch {
	case err == nil:
		return collectReply{Verdict: applied}
	case errors.As(err, &conflict):
		return collectReply{Verdict: conflicting, Found: conflict.Found}
	case errors.As(err, &none):
		return collectReply{Verdict: unavailable, Cause: err.Error()}
	default:
		return collectReply{Verdict: indefinite, Cause: err.Error()}
	}
}

// error returns the error of a reply. A verdict that this version does not
// know counts as indefinite.
func (r collectReply) error(request collectRequest) error {
	switch r.Verdict {
	case applied:
		return nil
	case conflicting:
		return &platform.ConflictError{Key: request.Key, Expected: request.Version, Found: r.Found}
	case unavailable:
		return &platform.UnavailableError{Operation: CollectMethod, Cause: eris.New(r.Cause)}
	default:
		return &platform.IndefiniteError{Operation: CollectMethod, Cause: eris.New(r.Cause)}
	}
}

// collector returns the router that commits what is written to a row.
func (c *Collected) collector(key platform.Key) fleet.RouterID {
	routers := append(slices.Clone(c.Peers.Routers()), c.Self)
	if len(routers) <= smallFleet {
		return c.Self
	}
	slot := uint64(rendezvous.KeyOf("claim", string(key))) % collectors
	return rendezvous.Pick(rendezvous.KeyOfNumber("claim-collector", slot), routers)
}
