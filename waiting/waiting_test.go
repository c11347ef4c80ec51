package waiting_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/waiting"
)

// A fixed seed makes each run check the same cases.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var epoch = time.Unix(1_800_000_000, 0)

// expectedItem is an item of the list model.
type expectedItem struct {
	item     *waiting.Item[string, int]
	key      string
	deadline int
}

// A queue must behave like a plain list through any sequence of pushes, pops, removals and
// expiries.
func TestQueueMatchesListModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var queue waiting.Queue[string, int]
		var list []expectedItem
		at := func(second int) time.Time { return epoch.Add(time.Duration(second) * time.Second) }
		for step := range rapid.IntRange(0, 60).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			second := rapid.IntRange(0, 50).Draw(t, "second")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				list = append(list, expectedItem{queue.Push(key, step, epoch, at(second)), key, second})
			case 2:
				i := slices.IndexFunc(list, func(m expectedItem) bool { return m.key == key })
				item := queue.Pop(key)
				require.Equal(t, i < 0, item == nil)
				if i >= 0 {
					require.Equal(t, list[i].item, item)
					list = slices.Delete(list, i, i+1)
				}
			case 3:
				if len(list) == 0 {
					continue
				}
				i := second % len(list)
				require.True(t, queue.Remove(list[i].item))
				require.False(t, queue.Remove(list[i].item))
				list = slices.Delete(list, i, i+1)
			default:
				expired := queue.Expire(at(second))
				before := len(list)
				list = slices.DeleteFunc(list, func(m expectedItem) bool { return m.deadline <= second })
				require.Len(t, expired, before-len(list))
			}
			require.Equal(t, len(list), queue.Total())
			length := 0
			for _, m := range list {
				if m.key == key {
					length++
				}
			}
			require.Equal(t, length, queue.Len(key))
		}
	})
}

func TestItemsWithoutDeadlineNeverExpire(t *testing.T) {
	t.Parallel()
	var queue waiting.Queue[string, int]
	queue.Push("a", 1, epoch, time.Time{})
	_, ok := queue.NextDeadline()
	require.False(t, ok)
	queue.Push("a", 2, epoch, epoch.Add(time.Second))
	deadline, ok := queue.NextDeadline()
	require.True(t, ok)
	require.Equal(t, epoch.Add(time.Second), deadline)
	expired := queue.Expire(epoch.Add(time.Hour))
	require.Len(t, expired, 1)
	require.Equal(t, 2, expired[0].Value())
	require.Equal(t, 1, queue.Head("a").Value())
	require.Nil(t, queue.Head("a").Next())
	require.Nil(t, queue.Head("b"))
}

// A lost connection makes ten thousand callers leave at once. Searching a list for each of
// them would take fifty million steps while other requests wait.
func BenchmarkRemove(b *testing.B) {
	var queue waiting.Queue[int, int]
	items := make([]*waiting.Item[int, int], 10_000)
	for i := range items {
		items[i] = queue.Push(i%16, i, epoch, epoch.Add(time.Duration(i)))
	}
	b.ResetTimer()
	for i := range b.N {
		at := i * 7919 % len(items)
		queue.Remove(items[at])
		items[at] = queue.Push(at%16, at, epoch, epoch.Add(time.Duration(i)))
	}
}
