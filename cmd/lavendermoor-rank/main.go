// Command lavendermoor-rank is the sidecar of one model replica. It keeps the expert map of the replica's group
// balanced.
package main

import (
	"context"
	"os"

	"lavendermoor.example/cmd/internal/rankd"
	"lavendermoor.example/cmd/internal/start"
)

func main() {
	s := rankd.DefaultSettings()
	os.Exit(start.MainWithSettingsFile("lavendermoor-rank", os.Args[1:], &s, func(ctx context.Context, file string) error {
		return rankd.Run(ctx, s, file, os.Stdout)
	}))
}
