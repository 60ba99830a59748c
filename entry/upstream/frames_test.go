package upstream

import (
	"bytes"
	"encoding/json"
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavendermoor.example/api/peerapi"
)

// The seed of the property tests is fixed; -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// readAll reads the frames of a response with the ID "r1" until the last frame or an error. text is the text of all
// events returned.
func readAll(input string) (text string, last *peerapi.Frame, c *counters, err error) {
	c = &counters{}
	f := newFrameReader(strings.NewReader(input), "r1", 0, c)
	var out strings.Builder
	for {
		data, end, err := f.read()
		if err != nil || end != nil {
			return out.String(), end, c, err
		}
		escaped, _ := escapedText(data)
		out.Write(escaped)
	}
}

func encodeLine(f peerapi.Frame) string {
	line, _ := json.Marshal(f)
	return string(line) + "\n"
}

// Guards against a response with an event of another request, a duplicate event or a missing event. Whatever frames
// arrive, the data returned is a prefix of the correct response, and only a complete response ends without an error.
func TestOnlyAPrefixOfTheCorrectResponseIsForwarded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "events")
		var input strings.Builder
		complete, missingEvent := true, false
		for i := 0; i < n; i++ {
			f := peerapi.Frame{ID: "r1", Seq: int64(i), Data: eventOf(i)}
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				input.WriteString(encodeLine(peerapi.Frame{ID: "other", Seq: f.Seq, Data: eventOf(90)}))
			case 1:
				input.WriteString(encodeLine(f)) // duplicate
			case 2:
				if i > 0 && !missingEvent {
					input.WriteString(encodeLine(peerapi.Frame{ID: "r1", Seq: int64(i - 1), Data: eventOf(91)})) // late
				}
			case 3:
				complete, missingEvent = false, true
				continue
			case 4:
				input.WriteString(encodeLine(peerapi.Frame{ID: "r1"})) // keep-alive
			case 5:
				input.WriteString(encodeLine(peerapi.Frame{ID: "other", Seq: int64(i), End: true})) // end frame of another request
			}
			input.WriteString(encodeLine(f))
		}
		if rapid.Bool().Draw(t, "ends") {
			input.WriteString(encodeLine(peerapi.Frame{ID: "r1", Seq: int64(n), End: true}))
		} else {
			complete = false
		}
		text, last, _, err := readAll(input.String())
		if !strings.HasPrefix(words(n), text) {
			t.Fatalf("%q is not a prefix of the response", text)
		}
		if ended := last != nil && err == nil; ended != complete || (ended && text != words(n)) {
			t.Fatalf("ended %v, complete %v, text %q", ended, complete, text)
		}
	})
}

// Guards against faults that are handled but not counted.
func TestDiscardedFramesAreCounted(t *testing.T) {
	input := encodeLine(peerapi.Frame{ID: "other", Seq: 0, Data: eventOf(9)}) +
		encodeLine(peerapi.Frame{ID: "r1", Seq: 0, Data: eventOf(0)}) +
		encodeLine(peerapi.Frame{ID: "r1", Seq: 0, Data: eventOf(0)}) +
		encodeLine(peerapi.Frame{ID: "r1", Seq: 3, Data: eventOf(3)})
	text, last, c, err := readAll(input)
	var gap *SequenceGapError
	require.ErrorAs(t, err, &gap)
	require.Equal(t, SequenceGapError{Expected: 1, Received: 3}, *gap)
	require.Nil(t, last)
	require.Equal(t, word(0), text)
	require.Equal(t, Counts{Crossed: 1, Late: 1, Gaps: 1}, c.snapshot())
}

// Guards against a fast path for data frames that decodes a line differently from the JSON decoder.
func TestUnusualLinesAreDecodedAsJSON(t *testing.T) {
	for line, want := range map[string]string{
		`{"seq":0,"id":"r1","data":{"text":"x"}}`:                     "x",
		`{"id":"r1", "seq":0, "data":{"text":"x"} }`:                  "x",
		`{"id":"r1","seq":0,"data":{"text":"x"},"unknown":1}`:         "x",
		`{"id":"r1","seq":0,"data":{"text":"x"},"id":"other"}`:        "",
		`{"id":"r1","seq":0,"data":{"text":"x"}`:                      "",
		`{"id":"r1","seq":0,"data":{"text":"x"}}}`:                    "",
		`{"id":"r1","seq":0,"data":}`:                                 "",
		`{"id":"r1","seq":99999999999999999999,"data":{"text":"x"}}`:  "",
		`{"id":"r1x","seq":0,"data":{"text":"x"}}`:                    "",
		`{"id":"r1","seq":0,"data":{"text":"x"},"error":{"type":""}}`: "",
	} {
		text, last, _, _ := readAll(line + "\n")
		require.Equal(t, want, text, line)
		require.False(t, last != nil && last.End, line)
	}
}

// Guards against an error for a frame that exceeds the initial buffer.
func TestLongFrames(t *testing.T) {
	long := strings.Repeat("x", 3*initialFrameBuffer)
	data, _ := json.Marshal(map[string]string{"text": long})
	text, _, _, _ := readAll(encodeLine(peerapi.Frame{ID: "r1", Data: data}))
	require.Equal(t, long, text)
}

func benchStream(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		b.WriteString(encodeLine(peerapi.Frame{ID: "0f1e2d3c-4b5a-6978-8796-a5b4c3d2e1f0", Seq: int64(i), Data: eventOf(i)}))
	}
	b.WriteString(encodeLine(peerapi.Frame{ID: "0f1e2d3c-4b5a-6978-8796-a5b4c3d2e1f0", Seq: int64(n), End: true}))
	return b.Bytes()
}

// BenchmarkFrameReader measures the cost per token of the reader, and of decoding each line with encoding/json.
func BenchmarkFrameReader(b *testing.B) {
	const tokens = 1000
	input := benchStream(tokens)
	b.Run("reader", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f := newFrameReader(bytes.NewReader(input), "0f1e2d3c-4b5a-6978-8796-a5b4c3d2e1f0", 0, &counters{})
			for {
				_, last, err := f.read()
				if err != nil {
					b.Fatal(err)
				}
				if last != nil {
					break
				}
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
	})
	b.Run("json", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			for line := range bytes.Lines(input) {
				var f peerapi.Frame
				if err := json.Unmarshal(line, &f); err != nil {
					b.Fatal(err)
				}
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
	})
}
