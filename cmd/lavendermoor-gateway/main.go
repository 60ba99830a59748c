// Command lavendermoor-gateway serves the HTTP interface of the backend servers. It chooses a server for each request
// and relays the response.
package main

import (
	"context"
	"os"

	"lavendermoor.example/cmd/internal/gatewayd"
	"lavendermoor.example/cmd/internal/start"
)

func main() {
	s := gatewayd.DefaultSettings()
	os.Exit(start.MainWithSettingsFile("lavendermoor-gateway", os.Args[1:], &s, func(ctx context.Context, file string) error {
		return gatewayd.Run(ctx, s, file, os.Stdout)
	}))
}
