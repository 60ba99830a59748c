// Command lavendermoor-standin runs a stand-in for one external system, for development and tests.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/cmd/internal/start"
	"lavendermoor.example/standin/engineorders"
	"lavendermoor.example/standin/engineserver"
	"lavendermoor.example/standin/instancelist"
	"lavendermoor.example/standin/kvserver"
	"lavendermoor.example/standin/rankgroup"
	"lavendermoor.example/standin/serviceserver"
	"lavendermoor.example/standin/weightserver"
	"lavendermoor.example/telemetry"
)

// shutdownGrace is the time that running requests get at shutdown.
const shutdownGrace = time.Second

type options struct {
	role   string
	listen string

	lag time.Duration

	slots          int
	prefillPerKB   time.Duration
	tokenTime      time.Duration
	tokens         int
	tokensPerEvent int

	checksFencing bool
	loadTime      time.Duration

	readTime, writeTime time.Duration

	weights weightserver.Settings

	ranks rankgroup.Settings

	models    int
	advertise string
}

// roleError reports an unknown role.
type roleError struct{ role string }

func (e *roleError) Error() string {
	return fmt.Sprintf("role %q does not exist (kv, instances, engine, service, weights, ranks, platform)", e.role)
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	flags := flag.NewFlagSet("lavendermoor-standin", flag.ContinueOnError)
	flags.StringVar(&o.role, "role", "", "system to stand in for: kv, instances, engine, service, weights, ranks, platform")
	flags.StringVar(&o.listen, "listen", "127.0.0.1:0", "addresses, separated by commas; the replicas of a service share one state")
	flags.DurationVar(&o.lag, "lag", time.Second, "instances: delay until a change is visible")
	flags.IntVar(&o.slots, "slots", 16, "engine: requests in a batch")
	flags.DurationVar(&o.prefillPerKB, "prefill-per-kb", 2*time.Millisecond, "engine: prefill time of 1,024 bytes of prompt")
	flags.DurationVar(&o.tokenTime, "token-time", 5*time.Millisecond, "engine: time between tokens")
	flags.IntVar(&o.tokens, "tokens", 32, "engine: tokens of a response to a request without max_tokens")
	flags.IntVar(&o.tokensPerEvent, "tokens-per-event", 1, "engine: tokens in an event; above 1, events have IDs that count tokens")
	flags.BoolVar(&o.checksFencing, "checks-fencing", true, "engine: reject orders with an old fencing token")
	flags.DurationVar(&o.loadTime, "load-time", time.Second, "engine: time to load a model")
	flags.IntVar(&o.weights.RateBytes, "rate", 1<<30, "weights: total bytes/s of all readers")
	flags.IntVar(&o.weights.MaxReaders, "readers", 8, "weights: maximum number of concurrent readers")
	flags.IntVar(&o.weights.ModelBytes, "model-bytes", 1<<30, "weights: size of a model version")
	o.ranks = rankgroup.DefaultSettings()
	flags.StringVar(&o.ranks.Group, "group", "group", "ranks: name of the group")
	flags.Uint64Var(&o.ranks.Seed, "seed", 1, "ranks: seed of popularity and noise")
	flags.IntVar(&o.ranks.Shape.Ranks, "ranks", 64, "ranks: number of ranks")
	flags.IntVar(&o.ranks.Shape.Experts, "experts", 256, "ranks: experts per layer")
	flags.IntVar(&o.ranks.Shape.Layers, "layers", 60, "ranks: number of layers")
	flags.IntVar(&o.ranks.Shape.Slots, "expert-slots", 5, "ranks: expert slots per layer and rank")
	flags.Float64Var(&o.ranks.Drift.CorrelationSteps, "memory", 20_000, "ranks: correlation time of expert popularity, in steps")
	flags.DurationVar(&o.readTime, "read-time", time.Millisecond, "service: duration of a read")
	flags.DurationVar(&o.writeTime, "write-time", 5*time.Millisecond, "service: duration of a write")
	flags.IntVar(&o.models, "models", 1, "platform: number of model replicas, the ranks of one group")
	flags.StringVar(&o.advertise, "advertise", "", "platform: addresses under which the replicas are listed, separated by commas")
	version := start.VersionFlag(flags)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	if version() {
		return 0
	}
	ctx, stop := start.HandleSignals()
	defer stop()
	err := serve(ctx, o)
	var role *roleError
	if errors.As(err, &role) {
		fmt.Fprintln(os.Stderr, "lavendermoor-standin:", err)
		return 2
	}
	if err != nil {
		return start.Fail(os.Stderr, "lavendermoor-standin", "", err)
	}
	return 0
}

// serve serves the role on each address until the context ends.
func serve(ctx context.Context, o options) error {
	group, ctx := errgroup.WithContext(ctx)
	handlerOf, err := handlers(ctx, o)
	if err != nil {
		return err
	}
	for i, address := range strings.Split(o.listen, ",") {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return err
		}
		fmt.Println("listening on", l.Addr())
		h := handlerOf(i)
		if r, ok := h.(refuser); ok {
			l = &refusingListener{Listener: l, refuser: r}
		}
		group.Go(func() error { return telemetry.Serve(ctx, l, h, shutdownGrace) })
	}
	return group.Wait()
}

// refuser is a handler of a server that accepts no connections at times.
type refuser interface{ RefusesConnections() bool }

// refusingListener closes the connections that its server does not accept.
type refusingListener struct {
	net.Listener
	refuser refuser
}

// Accept returns the next connection that the server accepts.
func (l *refusingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.refuser.RefusesConnections() {
			return c, err
		}
		c.Close()
	}
}

// handlers returns a function that returns the handler for the listener with the given index.
func handlers(ctx context.Context, o options) (func(i int) http.Handler, error) {
	switch o.role {
	case "kv":
		h := kvserver.New().Handler()
		return func(int) http.Handler { return h }, nil
	case "instances":
		h := instancelist.New(o.lag).Handler()
		return func(int) http.Handler { return h }, nil
	case "engine":
		return func(i int) http.Handler { return engineHandler(i, o) }, nil
	case "service":
		store := serviceserver.NewStore()
		return func(i int) http.Handler {
			return serviceserver.New(serviceserver.Options{
				Name: fmt.Sprintf("service-%d", i), ReadTime: o.readTime, WriteTime: o.writeTime,
			}, store).Handler()
		}, nil
	case "platform":
		return platformHandlers(ctx, o)
	case "weights":
		h := weightserver.New(o.weights).Handler()
		return func(int) http.Handler { return h }, nil
	case "ranks":
		if err := o.ranks.Shape.Validate(); err != nil {
			return nil, err
		}
		g := rankgroup.New(o.ranks)
		go g.Run(ctx, 1)
		return func(int) http.Handler { return g.Handler() }, nil
	}
	return nil, &roleError{role: o.role}
}

// engineHandler returns the handler of an engine that accepts orders.
func engineHandler(i int, o options) http.Handler {
	r := mux.NewRouter()
	engineorders.New(engineorders.Settings{ChecksFencing: o.checksFencing, LoadTime: o.loadTime}).Register(r)
	r.PathPrefix("/").Handler(engineserver.New(engineserver.Options{
		Name: fmt.Sprintf("engine-%d", i), Slots: o.slots, PrefillPerKB: o.prefillPerKB,
		TokenTime: o.tokenTime, DefaultTokens: o.tokens, TokensPerEvent: o.tokensPerEvent,
	}).Handler())
	return r
}
