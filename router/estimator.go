package router

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// Estimator guesses what a request will cost before it runs.
type Estimator interface {
	// Model returns the expected cost of a chat completion with a body of
	// bodyBytes and a caller's bound of maxTokens output tokens, zero for none.
	Model(account *schema.Account, service *schema.Service, bodyBytes, maxTokens int) fleet.Tokens
}
