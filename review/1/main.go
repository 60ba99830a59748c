// Command 1 shows that two deputies of one planner can act at once, and that the ranks then run a pass with two maps.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"lavendermoor.example/review/rig"
)

const (
	// length is the time for which traffic is sent.
	length = 95 * time.Second
	// burstPeriod is the time between the beginnings of two bursts of streams. The group is idle between them.
	burstPeriod  = 2200 * time.Millisecond
	burstStreams = 36
	// retransmission is the time that the link needs to deliver an answer whose packet it has lost once.
	retransmission = 300 * time.Millisecond
	// lossUseful is how long after the loss the planner is killed at the latest.
	lossUseful = 25 * time.Second
	// restartDelay is the time between the kill of a process and its next start.
	restartDelay = time.Second
	// settled is how long the group has been armed and idle when the planner is killed.
	settled = 30 * time.Millisecond
	// minBeforeBurst is the least time between the kill and the next burst.
	minBeforeBurst = 350 * time.Millisecond
)

// disruption loses one packet between two side machines and later kills the process that last gave orders.
type disruption struct {
	rig *rig.Rig
	// wanted is set while a packet is to be lost.
	wanted    atomic.Bool
	lostAt    atomic.Int64
	nextBurst atomic.Int64
}

// delayAnswer keeps back one answer to the call that appoints a deputy.
func (d *disruption) delayAnswer(to int, request []byte) time.Duration {
	if !bytes.HasPrefix(request, []byte("POST /peer/v1/deputy/begin ")) || !d.wanted.CompareAndSwap(true, false) {
		return 0
	}
	d.lostAt.Store(time.Now().UnixNano())
	d.rig.Rec.Add("disruption: the link to side-%d loses one packet of an answer and delivers it %v later", to, retransmission)
	return retransmission
}

// run kills the planner once the group is idle and armed, some time after a packet was lost.
func (d *disruption) run() {
	var since time.Time
	for {
		select {
		case <-d.rig.Stopped():
			return
		case <-time.After(2 * time.Millisecond):
		}
		now := time.Now()
		switch lost := time.Unix(0, d.lostAt.Load()); {
		case d.wanted.Load():
			continue
		case now.Sub(lost) > lossUseful:
			d.wanted.Store(true)
			continue
		case now.Sub(lost) < time.Second || !d.rig.Group.ArmedAndIdle():
			since = time.Time{}
			continue
		case since.IsZero():
			since = now
			continue
		case now.Sub(since) < settled || time.Until(time.Unix(0, d.nextBurst.Load())) < minBeforeBurst:
			continue
		}
		d.killPlanner()
		since = time.Time{}
		d.wanted.Store(true)
	}
}

func (d *disruption) killPlanner() {
	i := d.rig.Planner()
	if i < 0 {
		return
	}
	p := d.rig.Sides[i]
	d.rig.Rec.Add("disruption: kills the process on %s, which holds the lease of the group", p.Name)
	p.Kill()
	time.Sleep(restartDelay)
	d.rig.Rec.Add("platform: starts the process on %s again", p.Name)
	_ = p.Start()
}

// sendBursts sends bursts of streams until the end or until a pass had two maps.
func sendBursts(r *rig.Rig, d *disruption) {
	client := rig.NewClient()
	var all sync.WaitGroup
	for n, end := 0, time.Now().Add(length); time.Now().Before(end) && len(r.Group.Mixed()) == 0; n++ {
		begin := time.Now()
		d.nextBurst.Store(begin.Add(burstPeriod).UnixNano())
		for i := range burstStreams {
			all.Go(func() {
				q := rig.Request{
					ID: fmt.Sprintf("%08x", n*burstStreams+i+1), Method: http.MethodPost, Path: "/note/x", Key: rig.Key,
					Body: fmt.Sprintf("prompt %d", i%9), Tokens: 40 + 4*(i%12), Deadline: 8 * time.Second,
				}
				r.Send(client, r.Gateways[i%len(r.Gateways)], q)
			})
		}
		time.Sleep(time.Until(begin.Add(burstPeriod)))
	}
	all.Wait()
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: 1 PROGRAMS FOLDER")
		return 2
	}
	d := &disruption{}
	r, err := rig.New(os.Args[1], filepath.Join(os.Args[2], "record.txt"), rig.Options{DelayAnswer: d.delayAnswer})
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	d.rig = r
	defer r.Stop()
	if err := r.Start(); err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	go r.Group.RunShifts(1300*time.Millisecond, r.Stopped())
	if os.Getenv("TROUBLE") != "0" {
		d.wanted.Store(true)
		go d.run()
	}
	sendBursts(r, d)
	mixed := r.Group.Mixed()
	r.Rec.Add("result: %d switches of the map, %d passes began with two maps", r.Group.Switches(), len(mixed))
	fmt.Printf("%d switches of the map, %d passes began with two maps\n", r.Group.Switches(), len(mixed))
	if len(mixed) > 0 {
		fmt.Println("MAP broken:", mixed[0])
		return 1
	}
	if r.Group.Switches() == 0 {
		fmt.Println("cannot run: the map was never switched")
		return 2
	}
	return 0
}

func main() { os.Exit(run()) }
