//go:build !linux

package socket

import "syscall"

// SendQueueOf returns the zero value: this system doesn't tell.
func SendQueueOf(syscall.RawConn) (SendQueue, error) { return SendQueue{}, nil }
