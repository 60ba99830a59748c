// Command lavendermoor-entry accepts callers' requests, chooses a replica for each one and relays the response.
package main

import (
	"context"
	"os"

	"lavendermoor.example/cmd/internal/daemon"
	"lavendermoor.example/cmd/internal/start"
	"lavendermoor.example/entry"
)

func main() {
	s := entry.DefaultSettings()
	os.Exit(start.Main("lavendermoor-entry", os.Args[1:], &s, func(ctx context.Context) error {
		l, err := daemon.Listen(ctx, s.Listen, s.PeerListen, s.Admin)
		if err != nil {
			return err
		}
		return daemon.RunEntry(ctx, s, l, os.Stderr)
	}))
}
