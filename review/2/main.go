// Command 2 shows that streams are cut if the ids of their events increase by more than one, also while a gateway stops.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lavendermoor.example/review/rig"
)

const (
	streams  = 24
	tokens   = 96
	deadline = 8 * time.Second
	// interval is the time between two requests.
	interval = 80 * time.Millisecond
	// termAt is the index of the request before which SIGTERM is sent. The platform sends new connections for two more
	// seconds, until two questions for readiness have failed.
	termAt = 4
	grace  = 8 * time.Second
	// countedUntil is how long after the SIGTERM a cut counts: until the last sixth of GraceS.
	countedUntil = grace - grace/6
)

// stream is one stream with its outcome.
type stream struct {
	request rig.Request
	answer  rig.Answer
	begun   time.Time
	ended   time.Time
}

// send sends streams through one gateway and stops that gateway while they run. It returns them and the time of the
// SIGTERM.
func send(r *rig.Rig, g *rig.Gateway) ([]*stream, time.Time) {
	client := rig.NewClient()
	var all sync.WaitGroup
	out := make([]*stream, streams)
	var term time.Time
	for i := range out {
		if i == termAt {
			term = time.Now()
			r.Rec.Add("platform: sends SIGTERM to %s", g.Name)
			g.Signal(syscall.SIGTERM)
		}
		s := &stream{request: rig.Request{
			ID: fmt.Sprintf("%08x", i+1), Method: http.MethodPost, Path: "/note/x", Key: rig.Key,
			Body: fmt.Sprintf("prompt %d", i), Tokens: tokens, Deadline: deadline,
		}}
		out[i] = s
		all.Go(func() {
			s.begun = time.Now()
			s.answer = r.Send(client, g, s.request)
			s.ended = time.Now()
		})
		time.Sleep(interval)
	}
	all.Wait()
	if !g.WaitExit(time.Until(term.Add(grace))) {
		g.Kill()
	}
	return out, term
}

// lost returns whether a stream ended without a complete answer around the SIGTERM, though neither its deadline nor the
// last sixth of GraceS was reached. No replica breaks off here.
func lost(r *rig.Rig, s *stream, term time.Time, step int) bool {
	whole := rig.Stream(s.request.Body, tokens, step)
	runs := 0
	for _, m := range r.Models {
		runs += m.Runs()[s.request.ID]
	}
	complete := s.answer.Status != 0 && s.answer.Complete && (s.answer.Status != http.StatusOK || s.answer.Body == whole)
	early := s.ended.Before(s.begun.Add(deadline)) && s.ended.Before(term.Add(countedUntil))
	return runs > 0 && !complete && early && s.ended.After(term)
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: 2 PROGRAMS FOLDER")
		return 2
	}
	r, err := rig.New(os.Args[1], filepath.Join(os.Args[2], "record.txt"), rig.Options{})
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer r.Stop()
	if err := r.Start(); err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	step := 1
	if os.Getenv("TROUBLE") != "0" {
		step = rig.TokensPerEvent
	}
	for _, m := range r.Models {
		m.EventStep = step
	}
	all, term := send(r, r.Gateways[0])
	whole, cut := 0, 0
	for _, s := range all {
		if s.answer.Body == rig.Stream(s.request.Body, tokens, step) && s.answer.Complete {
			whole++
		}
		if lost(r, s, term, step) {
			cut++
		}
	}
	r.Rec.Add("result: %d streams, %d whole, %d cut after the SIGTERM", len(all), whole, cut)
	fmt.Printf("%d streams, %d whole, %d cut after the SIGTERM\n", len(all), whole, cut)
	switch {
	case cut > 0:
		return 1
	case whole < len(all):
		fmt.Println("cannot run: streams were not served")
		return 2
	}
	return 0
}

func main() { os.Exit(run()) }
