package call

import (
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/stream"
)

// defaultCallCost is the charge of a plain call whose service declares none;
// the schema documents it.
const defaultCallCost = 100

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
	if m.service.GetKind() == kindModel {
		weights := estimate.Weights{Input: m.service.GetInputWeight(), Output: m.service.GetOutputWeight()}
		return weights.Cost(m.input, m.output)
	}
	if cost := m.service.GetCallCost(); cost > 0 {
		return fleet.Tokens(cost)
	}
	return defaultCallCost
}
