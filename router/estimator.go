package router

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// Estimator predicts the cost of a request before it runs.
type Estimator interface {
	// EstimateChat returns the expected cost of a chat completion whose body has
	// bodyBytes and whose output is limited to maxTokens; zero means no limit.
	EstimateChat(account *schema.Account, service *schema.Service, bodyBytes, maxTokens int) fleet.Tokens
}
