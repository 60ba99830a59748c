package telemetry

import "go.opentelemetry.io/otel/attribute"

// CallAttributes returns the metric attributes of a call: its name, and whether it failed.
func CallAttributes(call string, err error) []attribute.KeyValue {
	result := "ok"
	if err != nil {
		result = "error"
	}
	return []attribute.KeyValue{attribute.String("call", call), attribute.String("result", result)}
}
