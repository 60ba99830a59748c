package entry

import (
	"net/http"
	"testing"
)

// discard is a caller that takes everything.
type discard struct{ h http.Header }

func (d *discard) Header() http.Header         { return d.h }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) FlushError() error           { return nil }

// BenchmarkEvent measures one event of a stream on its way to the caller, without the connection.
func BenchmarkEvent(b *testing.B) {
	data := []byte(`{"choices":[{"index":0,"delta":{"role":"assistant","content":"harvest "},"finish_reason":null}]}`)
	x := &exchange{s: &Server{}, w: &discard{h: http.Header{}}, streaming: true}
	b.ReportAllocs()
	for b.Loop() {
		if err := x.event(data); err != nil {
			b.Fatal(err)
		}
	}
}
