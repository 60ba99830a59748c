// Command lavendermoor-side is the sidecar of one backend server. It queues and admits requests and
// forwards them to the server.
package main

import (
	"context"
	"os"

	"lavendermoor.example/cmd/internal/daemon"
	"lavendermoor.example/cmd/internal/start"
	"lavendermoor.example/side"
)

func main() {
	s := side.DefaultSettings()
	os.Exit(start.Main("lavendermoor-side", os.Args[1:], &s, func(ctx context.Context) error {
		l, err := daemon.Listen(ctx, "", s.Listen, s.Admin)
		if err != nil {
			return err
		}
		return daemon.RunSidecar(ctx, s, l, os.Stderr)
	}))
}
