package entry

import (
	"net/http"
	"testing"
)

// discardWriter is a caller that takes everything.
type discardWriter struct{ h http.Header }

func (d *discardWriter) Header() http.Header         { return d.h }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) FlushError() error           { return nil }

// BenchmarkEvent measures one event of a stream on its way to the caller, without the connection.
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
