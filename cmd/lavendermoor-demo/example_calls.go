package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/tmaxmax/go-sse"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/operatorv1/operatorv1connect"
)

// stepError reports that a step of the demo failed.
type stepError struct {
	step, detail string
}

func (e *stepError) Error() string { return e.step + ": " + e.detail }

// makeExampleCalls makes the demo's calls in order.
func makeExampleCalls(ctx context.Context, s *system) error {
	for _, step := range []func(context.Context, *system) error{
		configure, streamGeneration, bookWithToken, bookWithKey, waitForGroups, printSummary,
	} {
		if err := step(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// configure applies the configuration through the operator RPC of the first entry.
func configure(ctx context.Context, s *system) error {
	client := operatorv1connect.NewOperatorServiceClient(http.DefaultClient, s.entries[0])
	req := connect.NewRequest(&operatorv1.ApplyRequest{Upserts: s.objects, Comment: "demo"})
	req.Header().Set("Authorization", "Bearer "+operatorKey)
	resp, err := client.Apply(ctx, req)
	if err != nil {
		return err
	}
	fmt.Printf("configuration applied as revision %d\n", resp.Msg.GetRevision())
	for _, admin := range s.admins {
		if err := waitUntilReady(ctx, admin); err != nil {
			return err
		}
	}
	fmt.Printf("active in all %d processes\n", len(s.admins))
	return nil
}

func waitUntilReady(ctx context.Context, admin string) error {
	for {
		resp, err := do(ctx, http.MethodGet, admin+"/readyz", nil, nil)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &stepError{step: "wait for " + admin, detail: "not ready in time"}
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func do(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	return http.DefaultClient.Do(req)
}

type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// streamGeneration prints a model's response as it arrives.
func streamGeneration(ctx context.Context, s *system) error {
	fmt.Print("\nresponse to \"draft a harvest note\": ")
	body := []byte(`{"model":"drafter","stream":true,"messages":[{"role":"user","content":"draft a harvest note"}]}`)
	resp, err := do(ctx, http.MethodPost, s.entries[0]+"/v1/chat/completions", nil, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return err
		}
		if ev.Type == "error" {
			return &stepError{step: "stream", detail: ev.Data}
		}
		if ev.Data == "[DONE]" {
			fmt.Println("[complete]")
			return nil
		}
		var c streamChunk
		if err := json.Unmarshal([]byte(ev.Data), &c); err != nil {
			return err
		}
		for _, choice := range c.Choices {
			fmt.Print(choice.Delta.Content)
		}
	}
	return &stepError{step: "stream", detail: "ended without [DONE]"}
}

const servicePath = "/v1/services/" + serviceName

// bookWithToken books with a token, retries the call through the other entry and looks the booking up.
func bookWithToken(ctx context.Context, s *system) error {
	var issued struct {
		Token string `json:"token"`
	}
	if _, err := call(ctx, http.MethodPost, s.entries[0]+servicePath+"/-/token", nil, nil, &issued); err != nil {
		return err
	}
	return bookTwice(ctx, s, "token", http.Header{callerapi.HeaderToken: {issued.Token}})
}

// bookWithKey books, retries and looks up in the same way with an idempotency key chosen by the caller.
func bookWithKey(ctx context.Context, s *system) error {
	return bookTwice(ctx, s, "idempotency key", http.Header{callerapi.HeaderIdempotencyKey: {"demo-crew-7-slot-9"}})
}

type booking struct {
	ID   string `json:"id"`
	Shed string `json:"shed"`
	Slot string `json:"slot"`
}

// bookTwice sends the same booking to both entries and fails unless it was executed once. The header identifies the
// booking.
func bookTwice(ctx context.Context, s *system, idKind string, header http.Header) error {
	runsBefore := len(s.store.Runs())
	body := []byte(`{"shed":"north","slot":"09:00","crew":"7"}`)
	var first, second, found booking
	if _, err := call(ctx, http.MethodPost, s.entries[0]+servicePath+"/bookings", header, body, &first); err != nil {
		return err
	}
	replayed, err := call(ctx, http.MethodPost, s.entries[1]+servicePath+"/bookings", header, body, &second)
	if err != nil {
		return err
	}
	runs := len(s.store.Runs()) - runsBefore
	fmt.Printf("\nbooked by %s: %+v\nrepeated through the other entry: %+v (replayed: %v), ran %d time(s)\n",
		idKind, first, second, replayed, runs)
	if runs != 1 || first != second {
		return &stepError{step: "booking by " + idKind, detail: "the repeat was executed again or got another response"}
	}
	if _, err := call(ctx, http.MethodGet, s.entries[1]+servicePath+"/bookings/"+first.ID, nil, nil, &found); err != nil {
		return err
	}
	fmt.Printf("looked up: %+v\n", found)
	return nil
}

// call makes a JSON call, decodes the response into out and reports whether the response was replayed.
func call(ctx context.Context, method, url string, header http.Header, body []byte, out any) (bool, error) {
	resp, err := do(ctx, method, url, header, body)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return false, &stepError{step: method + " " + url, detail: string(raw)}
	}
	return resp.Header.Get("Idempotent-Replayed") == "true", json.Unmarshal(raw, out)
}

// groupDump is the part of a state dump that describes a model group.
type groupDump struct {
	Experts *struct{ Active int64 }
	Orders  *struct {
		Applied struct{ Model, Version string } `json:"have"`
	}
}

func (g *groupDump) ready() bool {
	return g.Experts != nil && g.Experts.Active > 0 && g.Orders != nil && g.Orders.Applied.Model != ""
}

// groupPollInterval is the time between two polls of a group that is not ready.
const groupPollInterval = 50 * time.Millisecond

// waitForGroups waits until every model group has an active expert map and its model loaded.
func waitForGroups(ctx context.Context, s *system) error {
	ready := 0
	for _, admin := range s.admins {
		for {
			var group groupDump
			if _, err := call(ctx, http.MethodGet, admin+"/debug/state", nil, nil, &group); err != nil {
				return err
			}
			if group.Orders == nil {
				break // Not the sidecar of a model group.
			}
			if group.ready() {
				ready++
				break
			}
			time.Sleep(groupPollInterval)
		}
	}
	fmt.Printf("%d model groups have an active expert map and a loaded model\n", ready)
	return nil
}

// printSummary prints the state of each process from its state dump.
func printSummary(ctx context.Context, s *system) error {
	fmt.Println("\nstate of the processes:")
	for _, admin := range s.admins {
		var dump struct {
			Entry *struct {
				Name               string
				Revision, Requests int64
			}
			Side *struct {
				Load struct {
					Server   string
					Revision int64
				}
				Served int64
			}
			groupDump
		}
		if _, err := call(ctx, http.MethodGet, admin+"/debug/state", nil, nil, &dump); err != nil {
			return err
		}
		switch {
		case dump.Entry != nil:
			fmt.Printf("  %-12s revision %d, %d requests\n", dump.Entry.Name, dump.Entry.Revision, dump.Entry.Requests)
		case dump.Side != nil:
			fmt.Printf("  %-12s revision %d, %d served\n", dump.Side.Load.Server, dump.Side.Load.Revision, dump.Side.Served)
		}
		if dump.ready() {
			fmt.Printf("  %-12s expert map version %d, model %s version %s loaded\n", "",
				dump.Experts.Active, dump.Orders.Applied.Model, dump.Orders.Applied.Version)
		}
	}
	return nil
}
