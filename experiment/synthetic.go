package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/trace"
)

// The shape of synthetic traces: a quiet period, then bursts of the large
// accounts on top of the steady load, then another quiet period.
const (
	quietDuration     = 60 * time.Second
	burstsDuration    = 60 * time.Second
	syntheticDuration = 150 * time.Second
	largeAccounts     = 3
)

// SyntheticTrace describes a trace that is generated from a seed.
type SyntheticTrace struct {
	Deployment Deployment
	Seed       uint64
	// modelServiceID and plainServiceID are the services that the records name.
	modelServiceID fleet.ServiceID
	plainServiceID fleet.ServiceID
}

// SyntheticTraces returns the synthetic traces, one for each of the users' deployments.
func SyntheticTraces() []SyntheticTrace {
	return []SyntheticTrace{
		{Deployment: Halonen(), Seed: 1103, modelServiceID: "findings", plainServiceID: "orders"},
		{Deployment: Kilimanjaro(), Seed: 1203, modelServiceID: "assistant", plainServiceID: "bookings"},
	}
}

// Generate generates the header and the records of the trace.
func (s SyntheticTrace) Generate() (trace.Header, []trace.Record) {
	d := s.Deployment
	header := trace.Header{
		Origin:    fmt.Sprintf("generated from seed %d: 16 accounts, bursts of three large ones after a quiet minute", s.Seed),
		Synthetic: true, StartTime: epoch.UTC(),
		Fleet: trace.Fleet{
			Name: d.Name, Routers: d.Routers, ModelUpstreams: d.Models, PlainUpstreams: d.Plain,
			OneWayDelayMicroseconds: int(d.Delay / time.Microsecond),
		},
	}
	random := rand.New(rand.NewPCG(s.Seed, 0))
	var records []trace.Record
	for account := range d.Accounts {
		records = append(records, s.steadyRequests(account, random)...)
		if account < largeAccounts {
			records = append(records, s.bursts(account, random)...)
		}
	}
	slices.SortStableFunc(records, func(a, b trace.Record) int { return int(a.ArrivalMs - b.ArrivalMs) })
	return header, records
}

// steadyRequests returns an account's requests at a constant rate. All accounts
// together use a third of the model upstreams' capacity.
func (s SyntheticTrace) steadyRequests(account int, random *rand.Rand) []trace.Record {
	var records []trace.Record
	perSecond := capacity(s.Deployment) / 3 / float64(s.Deployment.Accounts)
	for at := nextArrival(0, perSecond, random); at < syntheticDuration; at = nextArrival(at, perSecond, random) {
		records = append(records, s.modelRequest(account, at, random))
	}
	const callsPerSecond = 0.3
	for at := nextArrival(0, callsPerSecond, random); at < syntheticDuration; at = nextArrival(at, callsPerSecond, random) {
		records = append(records, s.plainCall(account, at, random))
	}
	return records
}

// bursts returns three bursts of a large account, each of half as many requests
// as the fleet has slots, within a second.
func (s SyntheticTrace) bursts(account int, random *rand.Rand) []trace.Record {
	const bursts = 3
	var records []trace.Record
	for burst := range bursts {
		begin := quietDuration + time.Duration(burst)*burstsDuration/bursts + time.Duration(account)*time.Second
		for range s.Deployment.slots() / 2 {
			at := begin + time.Duration(random.Int64N(int64(time.Second)))
			records = append(records, s.modelRequest(account, at, random))
		}
	}
	return records
}

// nextArrival draws the next time of a Poisson process after at.
func nextArrival(at time.Duration, perSecond float64, random *rand.Rand) time.Duration {
	return at + time.Duration(random.ExpFloat64()/perSecond*float64(time.Second))
}

// baseRecord returns a record with the fields common to all services.
func (s SyntheticTrace) baseRecord(account int, at time.Duration, random *rand.Rand) trace.Record {
	return trace.Record{
		ArrivalMs: at.Milliseconds(), Account: fleet.AccountID(fmt.Sprintf("account-%02d", account)),
		RouterIndex: random.IntN(s.Deployment.Routers), TimeoutMs: usualDeadline.Milliseconds(),
	}
}

func (s SyntheticTrace) modelRequest(account int, at time.Duration, random *rand.Rand) trace.Record {
	record := s.baseRecord(account, at, random)
	record.Service, record.Kind = s.modelServiceID, fleet.Model
	record.InputTokens, record.OutputTokens = usualInput.draw(random), usualOutput.draw(random)
	return record
}

func (s SyntheticTrace) plainCall(account int, at time.Duration, random *rand.Rand) trace.Record {
	record := s.baseRecord(account, at, random)
	record.Service, record.Kind = s.plainServiceID, fleet.Plain
	record.RunMs = 20 + random.Int64N(100)
	record.NonIdempotent = random.IntN(2) == 0
	return record
}
