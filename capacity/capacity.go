// Package capacity holds the benchmarks behind docs/CAPACITY.md: the cost of
// each router role by the number of accounts, upstreams and routers. The figures
// there are produced by
//
//	go test -run '^$' -bench . -benchtime 200ms ./capacity
package capacity
