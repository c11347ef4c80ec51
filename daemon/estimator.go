package daemon

import (
	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// estimator teaches package estimate from requests that ended, and gives the
// router what it has learnt.
type estimator struct{ *estimate.Estimator }

// Ended learns the output of a model's answer that came whole. An engine's
// refusal of a bad request has no output. Taken for a short answer, a few of
// them would let the next requests start too cheaply.
func (e estimator) Ended(report call.Report) {
	if report.Refused == "" && report.Output > 0 {
		e.Estimator.Ended(estimate.Key{Account: report.Account, Service: report.Service}, report.Output)
	}
}

func (e estimator) Model(account *schema.Account, service *schema.Service, bodyBytes, maxTokens int) fleet.Tokens {
	key := estimate.Key{Account: fleet.AccountID(account.GetId()), Service: fleet.ServiceID(service.GetId())}
	weights := estimate.Weights{Input: service.GetInputWeight(), Output: service.GetOutputWeight()}
	return weights.Cost(estimate.InputTokens(int64(bodyBytes)), e.Output(key, int64(maxTokens)))
}
