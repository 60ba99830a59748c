package gatewayd

// Settings are the static settings of a gateway process.
type Settings struct {
	Name          string `json:"name" validate:"required"`
	FailureDomain string `json:"failure_domain" validate:"required"`
	// Listen is the address for callers.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// ReadyListen serves the platform's question whether this process wants new connections.
	ReadyListen string `json:"ready_listen" validate:"required,hostname_port"`
	// ControlListen serves peers, metrics and the state dump.
	ControlListen string `json:"control_listen" validate:"required,hostname_port"`
	// Store is the address of the platform's store.
	Store string `json:"store" validate:"required,hostname_port"`
	// Peers are control addresses of some gateways; they may be out of date and may contain this process.
	Peers []string `json:"peers" validate:"dive,hostname_port"`
	// RankPort is the port of the rank processes beside model replicas, the same on all instances; 0 without them.
	RankPort int `json:"rank_port" validate:"gte=0,lt=65536"`
	// GraceSeconds is the time between the platform's request to stop and the end of the process.
	GraceSeconds float64 `json:"grace_seconds" validate:"gt=0"`
	// RetryRatio and RetrySlack are the bounds that all gateways share for repeated sends: a share of the requests and a
	// number besides, in RetryWindowSeconds.
	RetryRatio         float64 `json:"retry_ratio" validate:"gte=0"`
	RetrySlack         float64 `json:"retry_slack" validate:"gte=0"`
	RetryWindowSeconds int     `json:"retry_window_seconds" validate:"gt=0"`
	// ConfigMS is the time, in milliseconds, within which a change of the configuration has to be in force, and DrainMS that
	// within which a server that leaves must get nothing more.
	ConfigMS int64 `json:"config_ms" validate:"gte=500"`
	DrainMS  int64 `json:"drain_ms" validate:"gte=500"`
	// MemoryMB is the memory that the process may use.
	MemoryMB int64  `json:"memory_mb" validate:"gt=0"`
	LogLevel string `json:"log_level" validate:"oneof=debug info warn error"`
}

// Defaults returns the settings that a file need not give.
func Defaults() Settings {
	return Settings{
		GraceSeconds: 8, RetryRatio: 0.1, RetrySlack: 40, RetryWindowSeconds: 10, ConfigMS: 2000, DrainMS: 2000, MemoryMB: 256,
		LogLevel: "info",
	}
}
