package replicaserver

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Event returns the text of event n of the stream for a prompt.
func Event(prompt string, n int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, prompt, "/", n) // Writes to a hash never fail.
	return fmt.Sprintf("id: %d\ndata: %x\n\n", n, h.Sum64())
}

// isDeadly reports whether the replica crashes on a request with the parts and the body.
func (f *Faults) isDeadly(parts, body string) bool {
	return (f.DeadlyPart != "" && strings.Contains(parts, f.DeadlyPart+":")) || (f.DeadlyBody != "" && body == f.DeadlyBody)
}

// stream writes one event per pass, from the one after Last-Event-Id to the maximum in X-Token-Usage.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, prompt string, f Faults) {
	_, maxEvents, _ := strings.Cut(req.Header.Get("X-Token-Usage"), ",")
	events, err := strconv.Atoi(maxEvents)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // Without the header, the stream begins with event 1.
	r.group.addRunning(r.rank, 1)
	defer r.group.addRunning(r.rank, -1)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := first + 1; n <= events; n++ {
		if !r.group.waitForPass(req.Context()) {
			panic(http.ErrAbortHandler)
		}
		if f.isDeadly(req.Header.Get("X-Prompt-Prefix"), prompt) {
			_ = out.Flush()
			r.crash()
		}
		if r.RefusesConnections() {
			panic(http.ErrAbortHandler)
		}
		r.group.countExperts(r.rank, prompt)
		text := Event(prompt, n)
		if f.BreakAfter > 0 && n-first > f.BreakAfter {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = out.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
	}
}
