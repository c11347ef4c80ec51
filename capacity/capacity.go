// Package capacity holds the benchmarks behind docs/CAPACITY.md: what each
// role of a router costs by the number of accounts, upstreams and routers.
// The rows are written by
//
//	go test -run '^$' -bench . -benchtime 200ms ./capacity
package capacity
