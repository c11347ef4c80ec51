// Package unframed is an upstream that answers a request before it has read the body. The answer has neither a length nor
// chunks and ends with its connection.
package unframed

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// End is a way in which an upstream ends a connection.
type End string

// Ends at which the upstream hasn't taken the whole request.
const (
	Reset      End = "reset"
	ResetLater End = "reset after a pause"
	Close      End = "closed with unread data"
	// The upstream closes its side first in these.
	HalfCloseThenReset     End = "closed for sending, then reset"
	HalfCloseThenResetAmid End = "closed for sending, then reset amid the request"
	HalfCloseThenStall     End = "closed for sending, the rest is never read"
)

// Ends at which the upstream takes the whole request after it has closed its side.
const (
	TakeAll    End = "closed for sending, then the rest is read"
	TakeSlowly End = "closed for sending, then the rest is read slowly"
)

// CutOffs returns the ends at which the upstream hasn't taken the whole request.
func CutOffs() []End {
	return []End{Reset, ResetLater, Close, HalfCloseThenReset, HalfCloseThenResetAmid, HalfCloseThenStall}
}

const (
	resetPause     = 20 * time.Millisecond
	halfClosedTime = 100 * time.Millisecond
	stallTime      = 10 * time.Second
	// smallBuffer, in bytes, is that of a receiver into which the rest of a long request doesn't fit.
	smallBuffer = 16 << 10
	// A slow reader takes slowPart bytes after each slowPause.
	slowPart  = 128 << 10
	slowPause = 50 * time.Millisecond
)

// Start starts an upstream that sends answer, its head included, on each connection, and ends it. It returns its address.
// The upstream ends with ctx.
func Start(ctx context.Context, answer string, end End) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listening for an upstream")
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(ctx, conn, answer, end)
		}
	}()
	return listener.Addr().String(), nil
}

func serve(ctx context.Context, accepted net.Conn, answer string, end End) {
	defer accepted.Close()
	conn, ok := accepted.(*net.TCPConn)
	if !ok {
		return
	}
	in := bufio.NewReader(conn)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	_, _ = io.WriteString(conn, answer)
	end.Finish(ctx, conn, in)
}

// Finish ends a connection on which an answer has been sent, and from which in reads. The caller closes it.
func (e End) Finish(ctx context.Context, conn *net.TCPConn, in io.Reader) {
	switch e {
	case Reset, Close:
	case ResetLater:
		time.Sleep(resetPause)
	default:
		_ = conn.CloseWrite()
	}
	switch e {
	case HalfCloseThenReset:
		time.Sleep(halfClosedTime)
	case HalfCloseThenResetAmid:
		_ = conn.SetReadBuffer(smallBuffer)
		_, _ = io.CopyN(io.Discard, in, slowPart)
	case HalfCloseThenStall:
		select {
		case <-ctx.Done():
		case <-time.After(stallTime):
		}
	case TakeAll:
		_, _ = io.Copy(io.Discard, in)
	case TakeSlowly:
		for err := error(nil); err == nil; time.Sleep(slowPause) {
			_, err = io.CopyN(io.Discard, in, slowPart)
		}
	}
	if e != Close && e != TakeAll && e != TakeSlowly {
		_ = conn.SetLinger(0) // the close is a reset
	}
}

// playersAtOnce bounds the exchanges that Play has at the same time, so that none waits long for its connection.
const playersAtOnce = 8

// Play plays an exchange many times and returns its errors, nil for each that succeeded. In which order the system tells
// the reader and the writer of a reset isn't fixed.
func Play(times int, exchange func() error) []error {
	return play(times, func(int) error { return exchange() })
}

// PlayAnswers plays an exchange with an upstream for each of the answers, which ends its connection in the same way after all
// of them, and returns the errors in their order.
func PlayAnswers(ctx context.Context, answers []string, end End, exchange func(address string) error) []error {
	return play(len(answers), func(number int) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		address, err := Start(ctx, answers[number], end)
		if err != nil {
			return err
		}
		return exchange(address)
	})
}

func play(times int, exchange func(number int) error) []error {
	errs := make([]error, times)
	numbers := make(chan int, times)
	for number := range times {
		numbers <- number
	}
	close(numbers)
	var players sync.WaitGroup
	for range playersAtOnce {
		players.Go(func() {
			for number := range numbers {
				errs[number] = exchange(number)
			}
		})
	}
	players.Wait()
	return errs
}

// CutHeads returns the beginnings of an answer without a length, with a length, with chunks and after an interim answer, that stop
// within the head or the size of the first chunk. line is a line of the head, with its end.
func CutHeads(line string) []string {
	const status = "HTTP/1.1 200 OK\r\n"
	var out []string
	for _, head := range []string{
		status + line + "\r\n",
		status + line + "Content-Length: 12\r\n\r\n",
		status + line + "Transfer-Encoding: chunked\r\n\r\n1c\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n" + status + line + "\r\n",
	} {
		for end := 1; end < len(head); end++ {
			out = append(out, head[:end])
		}
	}
	return out
}

// HeadEnds returns ways in which an upstream ends its connection after a part of a head.
func HeadEnds() []End { return []End{Reset, Close, HalfCloseThenReset, TakeAll} }
