package experiment

import "time"

// Deployment is the size of a fleet.
type Deployment struct {
	Name string `json:"name"`
	// Routers are spread over three data centres.
	Routers int `json:"routers"`
	// Models and Plain are the numbers of model and plain upstreams.
	Models   int `json:"models"`
	Plain    int `json:"plain"`
	Accounts int `json:"accounts"`
	// Delay is the one-way network delay between data centres.
	Delay time.Duration `json:"delay-ns"`
}

const (
	dataCenters = 3
	scaledName  = "scaled"
)

// MaxRouters limits the size of a run: 120 routers take some minutes.
const MaxRouters = 120

// Halonen returns Halonen's current deployment: 10 findings-model workers and
// 3 orders workers, with data centres a millisecond apart.
func Halonen() Deployment {
	return Deployment{Name: "halonen", Routers: 6, Models: 10, Plain: 3, Accounts: 16, Delay: time.Millisecond}
}

// Kilimanjaro returns Kilimanjaro's current deployment: 12 assistant-model
// workers and 3 booking workers, with data centres half a millisecond apart.
func Kilimanjaro() Deployment {
	return Deployment{Name: "kilimanjaro", Routers: 6, Models: 12, Plain: 3, Accounts: 16, Delay: 500 * time.Microsecond}
}

// Scaled returns Halonen's deployment scaled to a number of routers, with
// upstreams and accounts in proportion.
func Scaled(routers int) Deployment {
	d := Halonen()
	d.Name = scaledName
	d.Models = d.Models * routers / d.Routers
	d.Plain = d.Plain * routers / d.Routers
	d.Accounts = d.Accounts * routers / d.Routers
	d.Routers = routers
	return d
}

// delay returns the one-way network delay between two routers.
func (d Deployment) delay(from, to int) time.Duration {
	const sameDataCenterDivisor = 4
	if from%dataCenters == to%dataCenters {
		return d.Delay / sameDataCenterDivisor
	}
	return d.Delay
}
