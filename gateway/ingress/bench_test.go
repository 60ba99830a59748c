package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkStream measures a stream of three events through the gateway over loopback. The prompt has three parts that
// other requests share.
func BenchmarkStream(b *testing.B) {
	g := newGateway(b, newTestBackend(b, "a", respond(eventStream(1, 3)+lastChunk)))
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, g.url+"/stream/x", nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Host = "h"
		req.Header.Set(testID, "id")
		req.Header.Set("T-Prompt", "8f1c29d0,5a77e01b,c3d94417")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp.StatusCode, err)
		}
	}
}

// BenchmarkBody measures a request with a body of 12 KB, the longest prompt of most callers, over loopback.
func BenchmarkBody(b *testing.B) {
	g := newGateway(b, newTestBackend(b, "a", respondOK("done")))
	prompt := strings.Repeat("p", 12<<10)
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, g.url+"/once/x", strings.NewReader(prompt))
		if err != nil {
			b.Fatal(err)
		}
		req.Host = "h"
		req.Header.Set(testID, "id")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp.StatusCode, err)
		}
	}
}
