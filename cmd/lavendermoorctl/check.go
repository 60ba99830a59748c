package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"time"

	"lavendermoor.example/configsync/mirror"
	"lavendermoor.example/platform"
	"lavendermoor.example/platform/configcheck"
)

// previousTimeout bounds the read of the previous configuration from the key-value service.
const previousTimeout = 10 * time.Second

// InputError reports a file or service from which no configuration can be read.
type InputError struct {
	Source string
	Cause  error
}

func (e *InputError) Error() string { return fmt.Sprintf("%s: %v", e.Source, e.Cause) }

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Cause }

// UndecodableError reports that the configuration to compare with cannot be decoded.
type UndecodableError struct{ Finding configcheck.Finding }

func (e *UndecodableError) Error() string { return e.Finding.String() }

// FindingsError makes a check exit with exitFailed.
type FindingsError struct{ Count int }

func (e *FindingsError) Error() string { return fmt.Sprintf("%d errors and warnings", e.Count) }

func checkFlags(fs *flag.FlagSet, c *cli) {
	fs.StringVar(&c.against, "against", "", "compare with this file, or with the key-value service at this host:port")
	fs.BoolVar(&c.jsonFindings, "json", false, "print the findings as a JSON array")
	fs.Int64Var(&c.memoryMB, "memory-mb", 0, "memory_mb of the gateways' settings, to check the limit of bodies; 0 for no check")
}

func checkConfig(ctx context.Context, c *cli, args []string) error {
	if len(args) != 2 || args[0] != "check" {
		return &UsageError{Problem: "exactly check FILE is needed"}
	}
	if c.memoryMB < 0 {
		return &UsageError{Problem: "-memory-mb must not be negative"}
	}
	value, err := os.ReadFile(args[1])
	if err != nil {
		return &InputError{Source: args[1], Cause: err}
	}
	o := configcheck.Options{MemoryMB: c.memoryMB}
	if c.against != "" {
		if o.Previous, err = readPrevious(ctx, c.against); err != nil {
			return err
		}
	}
	return c.showFindings(configcheck.Check(value, o))
}

// readPrevious reads a configuration from a file or, if there is none of that name, from the key-value service at an
// address. It fails with an *InputError.
func readPrevious(ctx context.Context, source string) (*platform.Config, error) {
	value, err := os.ReadFile(source)
	if err == nil {
		config, failed := configcheck.Decode(value)
		if failed != nil {
			return nil, &InputError{Source: source, Cause: &UndecodableError{Finding: *failed}}
		}
		return config, nil
	}
	if _, _, splitErr := net.SplitHostPort(source); splitErr != nil || !os.IsNotExist(err) {
		return nil, &InputError{Source: source, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, previousTimeout)
	defer cancel()
	snapshot, err := mirror.ReadSnapshot(ctx, platform.NewStore(source, nil), platform.ConfigPrefix)
	if err != nil {
		return nil, &InputError{Source: source, Cause: err}
	}
	config, err := platform.DecodeConfig(snapshot.Entries)
	if err != nil {
		return nil, &InputError{Source: source, Cause: err}
	}
	return config, nil
}

func (c *cli) showFindings(findings []configcheck.Finding) error {
	count := 0
	for _, f := range findings {
		if f.Severity != configcheck.Difference {
			count++
		}
	}
	if c.jsonFindings {
		out, err := json.MarshalIndent(append([]configcheck.Finding{}, findings...), "", "  ")
		if err != nil {
			return err
		}
		printf(c.stdout, "%s\n", out)
	} else {
		for _, f := range findings {
			printf(c.stdout, "%s\n", f)
		}
	}
	if count > 0 {
		return &FindingsError{Count: count}
	}
	return nil
}
