// Command lavendermoor-side is the sidecar of one backend server. It queues and admits requests and
// forwards them to the server.
package main

import (
	"context"
	"os"

	"lavendermoor.example/cmd/internal/daemon"
	"lavendermoor.example/cmd/internal/start"
	"lavendermoor.example/side"
	"lavendermoor.example/telemetry"
)

func main() {
	s := side.DefaultSettings()
	os.Exit(start.Main("lavendermoor-side", os.Args[1:], &s, func(ctx context.Context) error {
		log, _, err := telemetry.NewLogger(os.Stderr, "side", s.Name, s.LogLevel)
		if err != nil {
			return err
		}
		l, err := daemon.Listen(ctx, log, "", s.Listen, s.Admin)
		if err != nil {
			return err
		}
		return daemon.RunSidecar(ctx, s, l, os.Stderr)
	}))
}
