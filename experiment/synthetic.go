package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/trace"
)

// The synthetic traces: a quiet spell, then bursts of the large accounts
// while the others go on, then quiet again.
const (
	quietFor      = 60 * time.Second
	burstsFor     = 60 * time.Second
	syntheticTime = 150 * time.Second
	largeAccounts = 3
)

// Synthetic is a trace that is generated from a seed.
type Synthetic struct {
	Deployment Deployment
	Seed       uint64
	model      fleet.ServiceID
	plain      fleet.ServiceID
}

// Synthetics returns the two generated traces of the users' sizes.
func Synthetics() []Synthetic {
	return []Synthetic{
		{Deployment: Halonen(), Seed: 1103, model: "findings", plain: "orders"},
		{Deployment: Kilimanjaro(), Seed: 1203, model: "assistant", plain: "bookings"},
	}
}

// Trace generates the header and the records.
func (s Synthetic) Trace() (trace.Header, []trace.Record) {
	d := s.Deployment
	header := trace.Header{
		About:     fmt.Sprintf("generated from seed %d: 16 accounts, bursts of three large ones after a quiet minute", s.Seed),
		Synthetic: true, Begun: epoch.UTC(),
		Fleet: trace.Fleet{
			Name: d.Name, Routers: d.Routers, Models: d.Models, Plain: d.Plain,
			DelayMicroseconds: int(d.Delay / time.Microsecond),
		},
	}
	random := rand.New(rand.NewPCG(s.Seed, 0))
	var records []trace.Record
	for account := range d.Accounts {
		records = append(records, s.steady(account, random)...)
		if account < largeAccounts {
			records = append(records, s.bursts(account, random)...)
		}
	}
	slices.SortStableFunc(records, func(a, b trace.Record) int { return int(a.At - b.At) })
	return header, records
}

// steady returns an account's requests at a rate: together, the models are
// used to a third.
func (s Synthetic) steady(account int, random *rand.Rand) []trace.Record {
	var records []trace.Record
	perSecond := capacity(s.Deployment) / 3 / float64(s.Deployment.Accounts)
	for at := next(0, perSecond, random); at < syntheticTime; at = next(at, perSecond, random) {
		records = append(records, s.request(account, at, random))
	}
	const callsPerSecond = 0.3
	for at := next(0, callsPerSecond, random); at < syntheticTime; at = next(at, callsPerSecond, random) {
		records = append(records, s.call(account, at, random))
	}
	return records
}

// bursts returns three bursts of a large account, each of a half of the
// fleet's slots within a second.
func (s Synthetic) bursts(account int, random *rand.Rand) []trace.Record {
	const bursts = 3
	var records []trace.Record
	for burst := range bursts {
		begin := quietFor + time.Duration(burst)*burstsFor/bursts + time.Duration(account)*time.Second
		for range s.Deployment.slots() / 2 {
			at := begin + time.Duration(random.Int64N(int64(time.Second)))
			records = append(records, s.request(account, at, random))
		}
	}
	return records
}

func next(at time.Duration, perSecond float64, random *rand.Rand) time.Duration {
	return at + time.Duration(random.ExpFloat64()/perSecond*float64(time.Second))
}

func (s Synthetic) record(account int, at time.Duration, random *rand.Rand) trace.Record {
	return trace.Record{
		At: at.Milliseconds(), Account: fleet.AccountID(fmt.Sprintf("account-%02d", account)),
		Router: random.IntN(s.Deployment.Routers), Deadline: usualDeadline.Milliseconds(),
	}
}

func (s Synthetic) request(account int, at time.Duration, random *rand.Rand) trace.Record {
	record := s.record(account, at, random)
	record.Service, record.Kind = s.model, fleet.Model
	record.Input, record.Output = usualInput.draw(random), usualOutput.draw(random)
	return record
}

func (s Synthetic) call(account int, at time.Duration, random *rand.Rand) trace.Record {
	record := s.record(account, at, random)
	record.Service, record.Kind = s.plain, fleet.Plain
	record.Run = 20 + random.Int64N(100)
	record.NonIdempotent = random.IntN(2) == 0
	return record
}
