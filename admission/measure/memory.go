package main

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"time"

	"lavendermoor.example/admission"
	"lavendermoor.example/api/peerapi"
)

// memory measures the memory per waiting request, for the queue alone and for a gate whose callers each wait in a
// goroutine.
func memory() {
	fmt.Print("\n## Memory per waiting request\n\n")
	fmt.Println("| waiting | customers | queue, bytes each | gate with its goroutine, bytes each |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, n := range []int{1000, 4000, 10000} {
		for _, customers := range []int{10, 1000} {
			fmt.Printf("| %d | %d | %d | %d |\n", n, customers, queueBytes(n, customers)/n, gateBytes(n, customers)/n)
		}
	}
}

// bytesInUse returns the number of heap and stack bytes in use after a garbage collection.
func bytesInUse() int {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int(s.HeapAlloc + s.StackInuse)
}

func request(i, customers int) admission.Request {
	return admission.Request{
		ID: strconv.Itoa(i), Customer: "customer-" + strconv.Itoa(i%customers), Weight: 1, Kind: admission.Short,
		MaxTokens: 100, Deadline: time.Hour,
	}
}

func singleSlotConfig() admission.Config {
	c := admission.DefaultConfig()
	c.Limit = admission.LimitConfig{Initial: 1, Min: 1, Max: 1, Fixed: true}
	return c
}

func queueBytes(n, customers int) int {
	before := bytesInUse()
	q, err := admission.New(singleSlotConfig())
	if err != nil {
		return 0
	}
	for i := range n + 1 {
		q.Offer(0, &admission.Item{Request: request(i, customers)})
	}
	bytes := bytesInUse() - before
	runtime.KeepAlive(q)
	return bytes
}

func gateBytes(n, customers int) int {
	before := bytesInUse()
	g, err := admission.NewGate(singleSlotConfig())
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range n + 1 {
		wg.Go(func() {
			r := request(i, customers)
			w := &peerapi.Work{ID: r.ID, Customer: r.Customer, Weight: 1, Kind: peerapi.KindShort, DeadlineMs: time.Hour.Milliseconds()}
			if permit, err := g.Acquire(ctx, w, r.MaxTokens); err == nil {
				<-ctx.Done()
				permit.Release()
			}
		})
	}
	var l peerapi.LoadReport
	for l.Waiting < n {
		time.Sleep(time.Millisecond)
		g.Load(&l)
	}
	bytes := bytesInUse() - before
	cancel()
	wg.Wait()
	return bytes
}
