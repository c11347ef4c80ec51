// Package diagnosis finds the parts of prompts that crash the upstreams which answer them, and
// refuses the requests that hold them.
//
// A crash has many suspects: dozens of requests run at the upstream, and each holds several parts. A
// part that crashes upstreams is there each time, no answer with it comes far, and upstreams that
// run other parts go on. A sound part is there by chance, and soon some answer with it is seen to
// come further. Until that is known, parts that always come together are refused only together.
package diagnosis
