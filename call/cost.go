package call

import (
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/stream"
)

// costMeter tracks the cost of one request.
type costMeter struct {
	service *schema.Service
	input   int64
	output  int64
}

func newCostMeter(request *Request) costMeter {
	return costMeter{service: request.Service, input: estimate.InputTokens(int64(len(request.Body)))}
}

// setUsage replaces the estimated tokens by those that the engine reported.
func (m *costMeter) setUsage(usage stream.Usage) {
	m.input = usage.PromptTokens
	m.output = usage.CompletionTokens
}

func (m *costMeter) cost() fleet.Tokens {
	if fleet.ServiceKind(m.service.GetKind()) == fleet.Model {
		weights := estimate.Weights{Input: m.service.GetInputWeight(), Output: m.service.GetOutputWeight()}
		return weights.Cost(m.input, m.output)
	}
	return estimate.CallCost(m.service.GetCallCost())
}
