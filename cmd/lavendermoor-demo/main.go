// Command lavendermoor-demo runs the whole system in one process on loopback: stand-ins for the platform, two entries
// and six sidecars. It then makes a series of example calls and exits.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lavendermoor.example/cmd/internal/start"
)

// callsTimeout bounds the total time of the example calls.
const callsTimeout = 50 * time.Second

func main() {
	keep := flag.Bool("keep", false, "keep running after the calls, until interrupted")
	logs := flag.String("log", os.DevNull, "`FILE` to which all processes append their logs")
	version := start.VersionFlag(flag.CommandLine)
	flag.Parse()
	if version() {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, *logs, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "lavendermoor-demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, logFile string, keep bool) error {
	logs, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	systemCtx, stopSystem := context.WithCancel(ctx)
	defer stopSystem()
	sys, err := startSystem(systemCtx, logs)
	if err != nil {
		return err
	}
	callsCtx, cancel := context.WithTimeout(ctx, callsTimeout)
	defer cancel()
	if err := makeExampleCalls(callsCtx, sys); err != nil {
		return err
	}
	if keep {
		fmt.Printf("\nentries: %s (key %q); press Ctrl-C to end\n", sys.entries, callerKey)
		<-ctx.Done()
	}
	stopSystem()
	return sys.wait()
}
