package gatewayd

import (
	"go.uber.org/zap"

	"lavendermoor.example/cmd/internal/callers"
	"lavendermoor.example/config/settings"
	"lavendermoor.example/telemetry"
)

// Settings are the static settings of a gateway process.
type Settings struct {
	Name          string `json:"name" validate:"required"`
	FailureDomain string `json:"failure_domain" validate:"required"`
	// Regions is the region of each failure domain. A domain that it does not name is outside every allowed region.
	Regions map[string]string `json:"regions"`
	// Listen is the address for callers.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// ReadyListen is the address for the platform's readiness probes.
	ReadyListen string `json:"ready_listen" validate:"required,hostname_port"`
	// ControlListen is the address for peers, metrics and the state dump.
	ControlListen string `json:"control_listen" validate:"required,hostname_port"`
	// Store is the address of the platform's store.
	Store string `json:"store" validate:"required,hostname_port"`
	// Peers are control addresses of some gateways. They may be out of date and may include this process. What is not an
	// address is ignored.
	Peers []string `json:"peers"`
	// RankPort is the port of the agents in the rank sidecars, the same on all instances, or 0 if there are none.
	RankPort int `json:"rank_port" validate:"gte=0,lt=65536"`
	// GraceSeconds is the time from the platform's termination signal until the platform kills the process.
	GraceSeconds float64 `json:"grace_seconds" validate:"gt=0,lt=1e9"`
	// RetryRatio and RetrySlack limit the retries of all gateways together: in RetryWindowSeconds, at most RetryRatio
	// retries per request and RetrySlack more.
	RetryRatio         float64 `json:"retry_ratio" validate:"gte=0"`
	RetrySlack         float64 `json:"retry_slack" validate:"gte=0"`
	RetryWindowSeconds float64 `json:"retry_window_seconds" validate:"gt=0,lte=86400"`
	// ConfigMS is the time in milliseconds within which a configuration change must be applied. DrainMS is the time in
	// milliseconds after which a leaving server must get no more requests.
	ConfigMS float64 `json:"config_ms" validate:"gte=500,lt=1e12"`
	DrainMS  float64 `json:"drain_ms" validate:"gte=500,lt=1e12"`
	// MemoryMB is the memory, in MiB, that the process may use.
	MemoryMB float64 `json:"memory_mb" validate:"gte=1,lt=1e9"`
	// MaxConnections is the largest number of open connections of callers, 0 for the number that follows from the
	// descriptors of the process and from MemoryMB.
	MaxConnections int64  `json:"max_connections" validate:"gte=0"`
	LogLevel       string `json:"log_level" validate:"oneof=debug info warn error"`
}

// DefaultSettings returns the settings with their defaults.
func DefaultSettings() Settings {
	return Settings{
		GraceSeconds: 8, RetryRatio: 0.1, RetrySlack: 40, RetryWindowSeconds: 10, ConfigMS: 2000, DrainMS: 2000, MemoryMB: 256,
		LogLevel: "info",
	}
}

// usablePeers returns those of Peers that are addresses, and logs the others.
func (s *Settings) usablePeers(log *zap.Logger) []string {
	var usable []string
	for _, peer := range s.Peers {
		if !settings.IsAddress(peer) {
			log.Warn("peer of the settings ignored: it is not an address", zap.String("peer", peer))
			continue
		}
		usable = append(usable, peer)
	}
	return usable
}

// maxConnections returns the largest number of open connections of callers.
func (s *Settings) maxConnections() int64 {
	if s.MaxConnections > 0 {
		return s.MaxConnections
	}
	return callers.MaxConnections(telemetry.DescriptorLimit(), s.MemoryMB)
}

// InstanceName returns the name of the process in its log.
func (s *Settings) InstanceName() string { return s.Name }
