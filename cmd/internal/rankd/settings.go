package rankd

import (
	"net"
	"strconv"
)

// Settings are the static settings of a rank sidecar.
type Settings struct {
	Name string `json:"name" validate:"required"`
	// IP is the address of the instance.
	IP string `json:"ip" validate:"required,ip"`
	// PeerPort is the port for other rank sidecars, gateways, metrics and the state dump. It is the same on all
	// instances.
	PeerPort int `json:"peer_port" validate:"gt=0,lt=65536"`
	// Replica is the address of the model replica on this instance.
	Replica string `json:"replica" validate:"required,hostname_port"`
	// Service is the service of the replica.
	Service string `json:"service" validate:"required"`
	// Store is the address of the platform's store.
	Store string `json:"store" validate:"required,hostname_port"`
	// RequireFence is set if replicas refuse orders with a lower fencing token than the highest that they have seen.
	// Without it, switches of expert maps have no deputy.
	RequireFence bool `json:"require_fence"`
	// MemoryMB is the memory, in MiB, that the sidecar may use.
	MemoryMB float64 `json:"memory_mb" validate:"gte=1,lt=1e9"`
	LogLevel string  `json:"log_level" validate:"oneof=debug info warn error"`
}

// DefaultSettings returns the settings with their defaults.
func DefaultSettings() Settings { return Settings{MemoryMB: 128, LogLevel: "info"} }

// listen returns the address on which this sidecar listens.
func (s *Settings) listen() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)) }

// InstanceName returns the name of the process in its log.
func (s *Settings) InstanceName() string { return s.Name }
