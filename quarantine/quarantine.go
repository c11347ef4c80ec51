// Package quarantine detects requests that crash the upstreams that run them, and refuses
// them for a time.
//
// Such a request is sent again and again, by its caller or as a retry, through any router,
// and each time an upstream crashes together with everything it runs. A single crash
// doesn't identify the request: dozens of others fail at the same moment.
package quarantine
