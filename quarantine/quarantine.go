// Package quarantine finds requests that crash the upstreams that run them, and says
// which requests are refused for that.
//
// Such a request comes again and again, from its caller and as a retry of the fleet, at
// any router, and each time an upstream ends together with all that it runs. One
// crash tells nothing: the dozens of requests beside it break off at the same moment.
package quarantine
