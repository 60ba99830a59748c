package gatewayd

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/configsync/mirror"
	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/quarantine"
	"lavendermoor.example/platform"
)

// createMirrors creates the mirrors of the configuration, of the server list and of the suspected parts of prompts.
func (g *gateway) createMirrors(store *platform.Store) {
	s := g.settings.Load()
	configPollWait := time.Duration(configPollWaitFraction * s.ConfigMS * float64(time.Millisecond))
	serversPollDelay := time.Duration(serversPollDelayFraction * s.DrainMS * float64(time.Millisecond))
	g.config = mirror.New(mirror.Options{
		Source: store, Prefix: platform.ConfigPrefix, Check: g.configDecoder.Check,
		PollWait: configPollWait, PollDelay: configPollDelay,
		FetchFromPeer: g.peers.FetchSnapshot, FollowReader: g.followReader,
		OnChange: func(s *mirror.Snapshot, _ time.Time) { g.onConfigChange(s) }, Log: g.log,
	})
	g.servers = mirror.New(mirror.Options{
		Source: store, Prefix: platform.ServersPrefix, Check: platform.CheckServer, Keep: platform.KeepServer(g.isNamedService),
		PollWait: serversPollWait, PollDelay: serversPollDelay,
		FetchFromPeer: g.peers.FetchSnapshot, FollowReader: g.followReader,
		OnChange: func(s *mirror.Snapshot, keepUntil time.Time) { g.onServersChange(s, keepUntil) }, Log: g.log,
	})
	g.suspects = mirror.New(mirror.Options{
		Source: store, Prefix: quarantine.RecordPrefix, PollWait: configPollWait, PollDelay: configPollDelay,
		FetchFromPeer: g.peers.FetchSnapshot, FollowReader: g.followReader, OnChange: g.sharing.OnChange, Log: g.log,
	})
}

func (g *gateway) onConfigChange(s *mirror.Snapshot) {
	g.evacuations.update(platform.DecodeEvacuations(s.Entries), s.At, time.Now())
	c, err := g.configDecoder.DecodeCatalog(s.Entries)
	if err != nil {
		g.refusedConfigs.observe(s, err, g.log.With(zap.Int64("config_version", g.configVersion())))
		return
	}
	if g.srv.SetCatalog(c) {
		g.refusedConfigs.forget()
		g.log.Info("configuration in force", zap.Int64("config_version", c.Version), zap.Int64("era", s.At.Era),
			zap.Int64("revision", s.At.Revision),
			zap.Int("routes", len(c.Routes)), zap.Int("customers", len(c.Customers)), zap.Int("keys", len(c.Keys)),
			zap.Bool("anonymous_access", c.AnonymousAccess))
		g.fleet.SetWarmups(c.Warmups())
		g.logServerChanges(g.fleet.SetServices(c.ServiceNames(), time.Now()))
	}
}

// isNamedService reports whether the configuration names a service. Before the first one, all services count as named.
func (g *gateway) isNamedService(name string) bool {
	c := g.srv.Catalog()
	return c == nil || c.Service(name) != nil
}

// configVersion returns the version of the active configuration, 0 before the first one.
func (g *gateway) configVersion() int64 {
	if c := g.srv.Catalog(); c != nil {
		return c.Version
	}
	return 0
}

func (g *gateway) onServersChange(s *mirror.Snapshot, keepUntil time.Time) {
	servers, failed := platform.DecodeServers(s.Entries)
	list := balance.ServerList{Servers: servers, Era: s.At.Era, Invalid: slices.Collect(maps.Keys(failed))}
	for key := range s.Invalid {
		if _, known := s.Entries[key]; !known {
			list.Invalid = append(list.Invalid, platform.ServerID(key))
		}
	}
	g.invalidEntries.observe(invalidReasons(s.Invalid, failed), g.log)
	g.logServerChanges(g.fleet.UpdateList(list, keepUntil, time.Now()))
	g.serverKnowledge.observe(listContent{
		revision: s.At.Revision, entries: len(s.Entries), invalid: len(s.Invalid) + len(failed), unknown: len(list.Invalid),
		servers: len(g.fleet.All()),
	}, time.Now(), g.log)
}

// invalidReasons returns the reasons why entries of the server list are invalid, by ID: of those that the mirror describes
// and of those that failed to decode.
func invalidReasons(invalid map[string]mirror.InvalidEntry, failed map[string]error) map[string]string {
	reasons := make(map[string]string, len(invalid)+len(failed))
	for id, err := range failed {
		reasons[id] = err.Error()
	}
	for key, i := range invalid {
		reasons[platform.ServerID(key)] = i.Reason
	}
	return reasons
}

func (g *gateway) logServerChanges(changes []balance.Change) {
	for _, c := range changes {
		g.log.Info("backend server "+c.Kind, zap.String("server", c.Server.ID),
			zap.String("service", c.Server.Service), zap.String("address", c.Server.Address),
			zap.String("former_address", c.Former), zap.Duration("list_age", g.servers.Age()))
	}
}

// removeExpired removes servers and evacuations whose entries have not reappeared after an outage or a restore. It
// returns when the context ends.
func (g *gateway) removeExpired(ctx context.Context) {
	const interval = 100 * time.Millisecond
	for {
		process.Sleep(ctx, interval)
		if ctx.Err() != nil {
			return
		}
		g.logServerChanges(g.fleet.RemoveExpired(time.Now()))
		g.evacuations.expire(time.Now())
		g.serverKnowledge.expire(time.Now(), g.log)
	}
}
