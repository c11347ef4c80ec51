package call

import (
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/stream"
)

// meter follows what one request costs.
type meter struct {
	service *schema.Service
	input   int64
	output  int64
}

func newMeter(request *Request) meter {
	return meter{service: request.Service, input: estimate.InputTokens(int64(len(request.Body)))}
}

func (m *meter) settle(usage stream.Usage) {
	m.input = usage.PromptTokens
	m.output = usage.CompletionTokens
}

func (m *meter) cost() fleet.Tokens {
	if fleet.Kind(m.service.GetKind()) == fleet.Model {
		weights := estimate.Weights{Input: m.service.GetInputWeight(), Output: m.service.GetOutputWeight()}
		return weights.Cost(m.input, m.output)
	}
	return estimate.Call(m.service.GetCallCost())
}
