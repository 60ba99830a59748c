// Package entry implements the process that serves callers: it authenticates the customer, chooses a replica, and
// relays the response.
package entry

import (
	"time"

	"lavendermoor.example/config/settings"
	"lavendermoor.example/routing"
)

// Settings are the static settings of an entry process.
type Settings struct {
	Name string `json:"name" validate:"required"`
	// Listen is the address for callers and operators.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// PeerListen is the address for other processes of the system.
	PeerListen string `json:"peer_listen" validate:"required,hostname_port"`
	// Admin is the address of the admin listener.
	Admin         string `json:"admin" validate:"required,hostname_port"`
	FailureDomain string `json:"failure_domain" validate:"required"`
	// KeyValue is the URL of the key-value service.
	KeyValue string `json:"key_value" validate:"required,url"`
	// Instances is the URL of the instance list.
	Instances string `json:"instances" validate:"required,url"`
	// TLS is the key pair of the caller listener; nil for plain HTTP.
	TLS *TLS `json:"tls,omitempty"`
	// BootstrapKeySHA256 is the hex SHA-256 of an operator key that is accepted while no operator is configured.
	BootstrapKeySHA256 string `json:"bootstrap_key_sha256,omitempty" validate:"omitempty,len=64,hexadecimal"`
	// RoutingPolicy is the policy that chooses replicas; all except "affinity" are baselines for comparison.
	RoutingPolicy string `json:"routing_policy" validate:"oneof=affinity affinity-unbounded round-robin random least-in-flight"`
	// MemoryMB is the memory, in MiB, from which the bounds on request bodies and on connections of callers follow.
	MemoryMB float64 `json:"memory_mb" validate:"gte=1,lt=1e9"`
	// MaxConnections is the largest number of open connections of callers, 0 for the number that follows from the
	// descriptors of the process and from MemoryMB.
	MaxConnections int64  `json:"max_connections" validate:"gte=0"`
	LogLevel       string `json:"log_level" validate:"oneof=debug info warn error"`
	// DrainTimeout is how long running requests may continue after a termination signal.
	DrainTimeout settings.Duration `json:"drain_timeout" validate:"min=0"`
}

// TLS names the files of a key pair, which are reloaded when they change.
type TLS struct {
	CertFile string `json:"cert_file" validate:"required"`
	KeyFile  string `json:"key_file" validate:"required"`
}

// defaultMemoryMB is the default of MemoryMB.
const defaultMemoryMB = 256

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Listen:        "127.0.0.1:7100",
		PeerListen:    "127.0.0.1:7101",
		Admin:         "127.0.0.1:7102",
		LogLevel:      "info",
		MemoryMB:      defaultMemoryMB,
		RoutingPolicy: routing.NameAffinity,
		DrainTimeout:  settings.Duration(10 * time.Minute),
	}
}

// InstanceName returns the name of the process in its log.
func (s *Settings) InstanceName() string { return s.Name }
