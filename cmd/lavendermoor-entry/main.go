// Command lavendermoor-entry accepts callers' requests, chooses a replica for each one and relays the response.
package main

import (
	"context"
	"os"

	"lavendermoor.example/cmd/internal/daemon"
	"lavendermoor.example/cmd/internal/start"
	"lavendermoor.example/entry"
	"lavendermoor.example/telemetry"
)

func main() {
	s := entry.DefaultSettings()
	os.Exit(start.Main("lavendermoor-entry", os.Args[1:], &s, func(ctx context.Context) error {
		log, _, err := telemetry.NewLogger(os.Stderr, "entry", s.Name, s.LogLevel)
		if err != nil {
			return err
		}
		l, err := daemon.Listen(ctx, log, s.Listen, s.PeerListen, s.Admin)
		if err != nil {
			return err
		}
		return daemon.RunEntry(ctx, s, l, os.Stderr)
	}))
}
