package quarantine

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mostParts is the number of different parts that fit in the headers of a request, at 16,384 bytes.
const mostParts = 4096

// ownParts returns parts that no other request has.
func ownParts(request, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%x-%x", request, i)
	}
	return out
}

// Guards against a deadly part that is not found because of its place in a prompt with many parts (review/8).
func TestDeadlyPartIsFoundAtAnyPlace(t *testing.T) {
	for _, n := range []int{1, 20, 130, mostParts} {
		for _, place := range []int{0, n / 2, n - 1} {
			t.Run(fmt.Sprintf("%d of %d", place, n), func(t *testing.T) {
				c := newClock()
				sound := ownParts(0, n)
				q := newWarm(c, sound...)
				prompt := slices.Insert(slices.Clone(sound), place, "deadly")
				records := q.RecordCrash(service, prompt, begun("a"), c.now)
				require.Len(t, records, 1)
				require.Equal(t, "deadly", records[0].Part.ID)
				require.False(t, check(q, c, prompt...).Passes())
				require.True(t, check(q, c, sound...).Passes())
			})
		}
	}
}

// Guards against a deadly part that reaches a second server because the parts beside it were never answered either, and are
// too many.
func TestDeadlyPartAmongManyUnknownOnesIsBlocked(t *testing.T) {
	c := newClock()
	q := newWarm(c)
	for request, place := range []int{0, mostParts / 2, mostParts - 1} {
		deadly := fmt.Sprint("deadly-", request)
		records := q.RecordCrash(service, slices.Insert(ownParts(request, mostParts), place, deadly), begun(deadly), c.advance(time.Second))
		require.Len(t, records, maxShared)
		for _, r := range records {
			require.Len(t, r.With, maxWith)
			require.NotContains(t, r.With, r.Part.ID)
		}
		require.False(t, check(q, c, append(ownParts(100+request, 10), deadly)...).Passes())
	}
}

// Guards against a part of several crashes of which other gateways don't learn because one crash has too many suspects.
func TestSuspectsWithMostCrashesAreShared(t *testing.T) {
	c := newClock()
	q := newWarm(c)
	shared := func(request int) bool {
		parts := append(ownParts(request, mostParts), "deadly")
		records := q.RecordCrash(service, parts, begun(fmt.Sprint(request)), c.advance(time.Second))
		return slices.ContainsFunc(records, func(r Record) bool { return r.Part.ID == "deadly" })
	}
	shared(1)
	require.True(t, shared(2), "it is the only one with two crashes")
}

// Guards against a sound part that is forgotten, and then suspected, because prompts with many parts of their own come
// between those that hold it.
func TestPromptsWithManyPartsDisplaceNoSharedPart(t *testing.T) {
	c := newClock()
	shared := ownParts(0, 129)
	q := newWarm(c, shared...)
	for request := 1; request <= 50; request++ {
		if request%10 == 1 {
			q.RecordAnswer(service, shared, c.now, c.now)
		}
		q.RecordAnswer(service, ownParts(request, mostParts), c.now, c.now)
	}
	records := q.RecordCrash(service, append(slices.Clone(shared), "deadly"), begun("a"), c.now)
	require.Len(t, records, 1)
	require.Equal(t, "deadly", records[0].Part.ID)
}

// maxHeapBytes is the bound of the memory of a quarantine with the longest IDs, beside the requests in flight.
const maxHeapBytes = 32 << 20

// Guards against memory that grows with the requests and their parts.
func TestMemoryOfManyPartsIsBounded(t *testing.T) {
	c := newClock()
	q := New()
	before := heapBytes()
	for request := range 300 {
		parts := ownParts(request, mostParts)
		for i := range parts {
			parts[i] = fmt.Sprintf("%064s", parts[i])
		}
		unwatch := q.Watch(service, parts, func(Part) {})
		if request%3 == 0 {
			q.RecordCrash(service, parts, begun(fmt.Sprint(request)), c.advance(time.Second))
		} else {
			q.RecordAnswer(service, parts, c.now, c.now)
			q.RecordAnswer(service, parts, c.now, c.now)
		}
		unwatch()
	}
	require.Empty(t, q.watches)
	require.LessOrEqual(t, len(q.suspects), maxSuspects)
	require.LessOrEqual(t, heapBytes()-before, int64(maxHeapBytes))
	runtime.KeepAlive(q)
}

// heapBytes returns the bytes in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) //nolint:gosec // Far below the limit.
}
