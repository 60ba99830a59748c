package entry

import (
	"net/http"
	"testing"
)

// discardWriter is a ResponseWriter that discards all output.
type discardWriter struct{ h http.Header }

func (d *discardWriter) Header() http.Header         { return d.h }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) FlushError() error           { return nil }

// BenchmarkEvent measures relaying one event of a stream to the caller, without the network connection.
func BenchmarkEvent(b *testing.B) {
	data := []byte(`{"choices":[{"index":0,"delta":{"role":"assistant","content":"harvest "},"finish_reason":null}]}`)
	x := &exchange{server: &Server{}, w: &discardWriter{h: http.Header{}}, streaming: true}
	b.ReportAllocs()
	for b.Loop() {
		if err := x.relayEvent(data); err != nil {
			b.Fatal(err)
		}
	}
}
