package forward

import (
	"time"

	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/route"
)

// regionRetryAfter is the Retry-After of a request that may be served in no region.
const regionRetryAfter = time.Second

// findDataCenters finds the data centres in which the request may be served, if its route or its account is bound to regions.
// Where both are, both bind. It returns a refusal if there are none.
func (j *job) findDataCenters(ofAccount route.Regions) *refusal.Error {
	if len(j.route.Regions) == 0 && len(ofAccount) == 0 {
		return nil
	}
	for dataCenter, region := range j.handler.Regions {
		if j.route.Regions.Contains(region) && ofAccount.Contains(region) {
			j.dataCenters = append(j.dataCenters, dataCenter)
		}
	}
	if len(j.dataCenters) == 0 {
		return refusal.New(refusal.NoUpstream, "no data centre is in a region in which the request may be served", regionRetryAfter)
	}
	return nil
}
