// Package side is the sidecar of one backend server: it admits, queues and runs the requests that entries send, and
// reports load.
package side

import (
	"time"

	"lavendermoor.example/config/settings"
)

// Settings are the static settings of a sidecar.
type Settings struct {
	// Name is the name of the backend server in the configuration.
	Name string `json:"name" validate:"required"`
	// Listen is the address of the listener for other processes of the system.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// Admin is the address of the admin listener.
	Admin         string `json:"admin" validate:"required,hostname_port"`
	FailureDomain string `json:"failure_domain" validate:"required"`
	// Backend is the URL of the model engine or plain service.
	Backend string `json:"backend" validate:"required,url"`
	// KeyValue is the URL of the key-value service.
	KeyValue string `json:"key_value" validate:"required,url"`
	// Instances is the URL of the instance list.
	Instances string `json:"instances" validate:"required,url"`
	// EngineContinues declares that the engine can continue a response that another engine began, given the text so far
	// ("generated") and the number of tokens in it ("resume_from"). An engine whose events have IDs gets the ID of the last
	// event (Last-Event-ID) instead of the number.
	EngineContinues bool `json:"engine_continues,omitempty"`
	// Slots is the number of requests that the backend server runs concurrently, unless the configuration sets another
	// number. The concurrency limit starts at this number and then adapts to service times.
	Slots int `json:"slots" validate:"min=1"`
	// MaxSlots is the maximum of the concurrency limit; 0 means Slots. Set it higher only if the backend server accepts
	// more concurrent requests by slowing all of them down.
	MaxSlots int `json:"max_slots,omitempty" validate:"omitempty,gtefield=Slots"`
	// Policy selects the order of waiting requests; "fifo" and "priority" are baselines.
	Policy   string `json:"policy" validate:"oneof=fair fifo priority"`
	LogLevel string `json:"log_level" validate:"oneof=debug info warn error"`
	// DrainTimeout is the maximum time that accepted requests have to complete after a termination signal.
	DrainTimeout settings.Duration `json:"drain_timeout" validate:"min=0"`
	// Experts is set if this process runs the controller of its group's expert map.
	Experts *ExpertSettings `json:"experts,omitempty"`
	// Orders is set if the engine accepts orders.
	Orders *OrderSettings `json:"orders,omitempty"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Listen:       "127.0.0.1:7200",
		Admin:        "127.0.0.1:7201",
		Slots:        16,
		Policy:       "fair",
		LogLevel:     "info",
		DrainTimeout: settings.Duration(10 * time.Minute),
	}
}

// InstanceName returns the name of the process in its log.
func (s *Settings) InstanceName() string { return s.Name }
