// Command 6 shows that a configuration which takes the last tenant away opens the system to every caller: requests run with
// keys that were taken away, and with keys that no configuration ever held.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lavendermoor.example/review/rig"
)

const (
	// before is the time of traffic before the keys are taken away, after the time of traffic that is checked.
	before = 5 * time.Second
	after  = 8 * time.Second
	// revokeGap is the time between the two versions that take a key away.
	revokeGap = 1500 * time.Millisecond
	configMs  = 2 * time.Second
	interval  = 50 * time.Millisecond

	secondKey = "kq7rtm2vwx0c4e81ya5d"
	// unknownKey is in no configuration.
	unknownKey = "zz00notakeyofanybody"
)

// idPrefix is the beginning of the ids of requests with a key.
var idPrefix = map[string]string{rig.Key: "a", secondKey: "b", unknownKey: "f"}

// configWithoutTenants returns a configuration whose list of tenants is empty.
func configWithoutTenants(version int) []byte {
	var config map[string]any
	_ = json.Unmarshal(rig.Config(version), &config) // It is valid JSON.
	config["Tenants"] = []any{}
	raw, _ := json.Marshal(config)
	return raw
}

// sender sends requests with each of the keys in turn.
type sender struct {
	r     *rig.Rig
	count int
}

// send sends requests for the duration, and returns the statuses by key.
func (s *sender) send(d time.Duration, tag string) map[string]map[int]int {
	client := rig.NewClient()
	keys := []string{rig.Key, secondKey, unknownKey}
	out := map[string]map[int]int{}
	for _, key := range keys {
		out[key] = map[int]int{}
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		n := s.count
		s.count++
		key := keys[n%len(keys)]
		q := rig.Request{
			ID: fmt.Sprintf("%s%s%06x", idPrefix[key], tag, n), Method: http.MethodPost, Path: "/book/x", Key: key, Body: "p",
			Deadline: 1500 * time.Millisecond,
		}
		all.Go(func() {
			a := s.r.Send(client, s.r.Gateways[n%len(s.r.Gateways)], q)
			mu.Lock()
			defer mu.Unlock()
			out[key][a.Status]++
		})
	}
	all.Wait()
	return out
}

// runsOf counts the requests with a prefix that a replica has run.
func runsOf(r *rig.Rig, prefix string) int {
	n := 0
	for _, replica := range append(r.Plain, r.Models...) {
		for id := range replica.Runs() {
			if strings.HasPrefix(id, prefix) {
				n++
			}
		}
	}
	return n
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: 6 PROGRAMS FOLDER")
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
	r.Rec.Add("operator: writes version 20 with two keys of the tenant")
	r.Store.Write("op/config", rig.Config(20, rig.Key, secondKey))
	time.Sleep(configMs)
	s := &sender{r: r}
	first := s.send(before, "1")
	if first[rig.Key][http.StatusOK] == 0 || first[secondKey][http.StatusOK] == 0 || runsOf(r, "f") > 0 {
		fmt.Println("cannot run: not sound before the keys are taken away:", first)
		return 2
	}
	if os.Getenv("TROUBLE") != "0" {
		r.Rec.Add("operator: writes version 21, which takes the first key away")
		r.Store.Write("op/config", rig.Config(21, secondKey))
		time.Sleep(revokeGap)
		r.Rec.Add("operator: writes version 22, which takes the second key away, and with it the tenant unless TENANT=kept")
		if os.Getenv("TENANT") == "kept" {
			r.Store.Write("op/config", rig.Config(22))
		} else {
			r.Store.Write("op/config", configWithoutTenants(22))
		}
		time.Sleep(configMs)
	}
	r.Rec.Add("clients: send the requests that are checked")
	last := s.send(after, "2")
	unknown, dropped := runsOf(r, "f"), runsOf(r, "a2")+runsOf(r, "b2")
	text := fmt.Sprintf("before: %v; after: %v; run with a key that no configuration held: %d", first, last, unknown)
	if os.Getenv("TROUBLE") != "0" {
		text += fmt.Sprintf("; run with a key taken away more than ConfigMs before: %d", dropped)
	}
	r.Rec.Add("result: %s", text)
	fmt.Println(text)
	if unknown > 0 {
		return 1
	}
	return 0
}

func main() { os.Exit(run()) }
