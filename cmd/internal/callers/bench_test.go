package callers

import (
	"bufio"
	"io"
	"net/http"
	"testing"
)

// BenchmarkRequest measures a request on a tracked connection over loopback.
func BenchmarkRequest(b *testing.B) {
	s := startTestServer(b, func() {})
	c := s.dial(b)
	br := bufio.NewReader(c)
	for b.Loop() {
		if _, err := io.WriteString(c, plainRequest); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
	}
}
