//go:build review2

package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the case began.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) add(kind, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %-8s %s\n", time.Since(r.began).Seconds(), kind, text)
}
