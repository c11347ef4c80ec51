package segment_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/segment"
)

func TestReadAllReturnsTheText(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		text := bytes.Repeat([]byte("abcdefg"), rapid.IntRange(0, 60_000).Draw(t, "length"))
		var source io.Reader = bytes.NewReader(text)
		if rapid.Bool().Draw(t, "in small pieces") {
			source = iotest.HalfReader(source)
		}
		length := int64(len(text))
		if rapid.Bool().Draw(t, "of unknown length") {
			length = -1
		}
		var taken, reported int64
		list, err := segment.Reader{
			Take:   func(n int64) error { taken += n; return nil },
			OnRead: func(total int64) error { reported = total; return nil },
		}.ReadAll(source, length)
		require.NoError(t, err)
		var out bytes.Buffer
		_, err = list.WriteTo(&out)
		require.NoError(t, err)
		require.True(t, bytes.Equal(text, out.Bytes()))
		require.Equal(t, len(text), list.Len())
		require.True(t, bytes.Equal(text, list.Join()))
		require.Equal(t, int64(len(text)), reported)
		// A segment is at most as long as all before it.
		require.LessOrEqual(t, taken, 2*int64(len(text))+4<<10)
		if length >= 0 {
			require.Equal(t, length, taken)
		}
	})
}

// Guards against memory that is allocated for a length that was announced and doesn't come.
func TestAnnouncedLengthIsNotAllocated(t *testing.T) {
	t.Parallel()
	taken := int64(0)
	reader := segment.Reader{Take: func(n int64) error { taken += n; return nil }}
	list, err := reader.ReadAll(bytes.NewReader([]byte("b")), 4<<20)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, 1, list.Len())
	require.LessOrEqual(t, taken, int64(4<<10))
}

func TestReadAllStopsWhereItIsTold(t *testing.T) {
	t.Parallel()
	stop := errors.New("stop")
	text := bytes.Repeat([]byte("a"), 1<<20)
	for _, r := range []segment.Reader{
		{Take: func(int64) error { return stop }},
		{OnRead: func(int64) error { return stop }},
	} {
		list, err := r.ReadAll(bytes.NewReader(text), -1)
		require.ErrorIs(t, err, stop)
		require.Less(t, list.Len(), 64<<10)
	}
	_, err := segment.Reader{}.ReadAll(iotest.ErrReader(stop), -1)
	require.ErrorIs(t, err, stop)
}
