package call

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/stream"
)

const (
	// perToken is the weight of a token that is charged once.
	perToken = 1000
	// defaultInputWeight charges an input token a quarter: a prompt is
	// processed many tokens at a time, an answer one token a step.
	defaultInputWeight = perToken / 4
	defaultCallCost    = 100
	// bytesPerToken estimates a prompt before its engine has counted it.
	bytesPerToken = 4
)

// meter follows what one request costs.
type meter struct {
	service *schema.Service
	input   int64
	output  int64
}

func newMeter(request *Request) meter {
	return meter{service: request.Service, input: int64(len(request.Body) / bytesPerToken)}
}

func (m *meter) settle(usage stream.Usage) {
	m.input = usage.PromptTokens
	m.output = usage.CompletionTokens
}

func (m *meter) cost() fleet.Tokens {
	if m.service.GetKind() != kindModel {
		return fleet.Tokens(orDefault(m.service.GetCallCost(), defaultCallCost))
	}
	input := orDefault(m.service.GetInputWeight(), defaultInputWeight)
	output := orDefault(m.service.GetOutputWeight(), perToken)
	return fleet.Tokens((m.input*input + m.output*output) / perToken)
}

func orDefault(value uint32, otherwise int64) int64 {
	if value == 0 {
		return otherwise
	}
	return int64(value)
}
