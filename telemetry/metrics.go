package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// NewMeter returns an OpenTelemetry meter and the Prometheus registry that exports its instruments.
func NewMeter(program string) (metric.Meter, *prometheus.Registry, error) {
	reg := prometheus.NewRegistry()
	exp, err := otelprom.New(otelprom.WithRegisterer(reg))
	if err != nil {
		return nil, nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exp))
	return provider.Meter("lavendermoor.example/" + program), reg, nil
}
