package experiment

import "time"

// Deployment is the size of a fleet.
type Deployment struct {
	Name string `json:"name"`
	// Routers stand in three data centres.
	Routers int `json:"routers"`
	// Models and Plain are how many upstreams serve each service.
	Models   int `json:"models"`
	Plain    int `json:"plain"`
	Accounts int `json:"accounts"`
	// Delay is one way between data centres.
	Delay time.Duration `json:"delay-ns"`
}

const (
	dataCenters = 3
	scaledName  = "scaled"
)

// MaxRouters bounds Scaled: a run of 120 routers takes some minutes.
const MaxRouters = 120

// Halonen returns Halonen's deployment of today: 10 findings-model workers
// and 3 orders workers, with data centres a millisecond apart.
func Halonen() Deployment {
	return Deployment{Name: "halonen", Routers: 6, Models: 10, Plain: 3, Accounts: 16, Delay: time.Millisecond}
}

// Kilimanjaro returns Kilimanjaro's deployment of today: 12 assistant-model
// workers and 3 booking workers, with data centres half a millisecond apart.
func Kilimanjaro() Deployment {
	return Deployment{Name: "kilimanjaro", Routers: 6, Models: 12, Plain: 3, Accounts: 16, Delay: 500 * time.Microsecond}
}

// Scaled returns a deployment of so many routers with upstreams and accounts
// in today's proportion, to see the slope towards larger fleets.
func Scaled(routers int) Deployment {
	d := Halonen()
	d.Name = scaledName
	d.Models = d.Models * routers / d.Routers
	d.Plain = d.Plain * routers / d.Routers
	d.Accounts = d.Accounts * routers / d.Routers
	d.Routers = routers
	return d
}

// delay returns the time of a message between two routers, one way.
func (d Deployment) delay(from, to int) time.Duration {
	const within = 4
	if from%dataCenters == to%dataCenters {
		return d.Delay / within
	}
	return d.Delay
}
