package daemon

import (
	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// estimator adapts estimate.Estimator to call.Observer and router.Estimator.
type estimator struct{ *estimate.Estimator }

// Ended records the output tokens of a complete response. It ignores responses
// without output, such as an engine's refusal of a bad request: counted as short
// outputs, they would make the next estimates too low.
func (e estimator) Ended(report call.Report) {
	if report.RefusalReason == "" && report.OutputTokens > 0 {
		e.Estimator.Ended(estimate.Key{Account: report.Account, Service: report.Service}, report.OutputTokens)
	}
}

func (e estimator) EstimateChat(account *schema.Account, service *schema.Service, bodyBytes, maxTokens int) fleet.Tokens {
	key := estimate.Key{Account: fleet.AccountID(account.GetId()), Service: fleet.ServiceID(service.GetId())}
	weights := estimate.Weights{Input: service.GetInputWeight(), Output: service.GetOutputWeight()}
	return weights.Cost(estimate.InputTokens(int64(bodyBytes)), e.PredictOutput(key, int64(maxTokens)))
}
