package gatewayd

import (
	"time"

	"lavendermoor.example/gateway/quarantine"
	"lavendermoor.example/telemetry"
)

// instruments returns the metrics of what the gateway knows. suspected are the parts of prompts that it keeps from servers.
func (g *gateway) instruments(suspected *quarantine.Quarantine) []telemetry.Instrument {
	return []telemetry.Instrument{
		{
			Name: "lavendermoor.gateway.buffered_bytes", Unit: "By",
			Description: "Memory that request bodies and long responses hold.", Value: g.srv.BufferedBytes,
		},
		{
			Name: "lavendermoor.gateway.peers", Description: "Gateways listed at the last read.",
			Value: func() int64 { return int64(len(g.presence.Members())) },
		},
		{
			Name: "lavendermoor.gateway.quarantined_parts", Description: "Parts of prompts that are kept from servers.",
			Value: suspected.CountBlocked,
		},
		{
			Name: "lavendermoor.gateway.evacuated_domains", Description: "Failure domains whose servers get no requests.",
			Value: func() int64 { return int64(len(g.fleet.Evacuated())) },
		},
		{
			Name: "lavendermoor.gateway.cold_servers", Description: "Backend servers that count as cold.",
			Value: func() int64 { return g.fleet.CountCold(time.Now()) },
		},
		{
			Name: "lavendermoor.gateway.invalid_entries", Counter: true, Value: g.invalidEntries.count.Load,
			Description: "Entries of the server list that are not of a server, one for each change of such an entry.",
		},
		{
			Name: "lavendermoor.gateway.refused_configurations", Counter: true, Value: g.refusedConfigs.count.Load,
			Description: "Configurations that were refused, one for each write that was seen.",
		},
		{
			Name: "lavendermoor.gateway.servers", Description: "Backend servers that this gateway knows.",
			Value: func() int64 { return int64(len(g.fleet.All())) },
		},
		{
			Name: "lavendermoor.gateway.limited_servers", Description: "Backend servers that name a rate limit.",
			Value: g.fleet.CountLimited,
		},
	}
}
