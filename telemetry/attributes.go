package telemetry

import "go.opentelemetry.io/otel/attribute"

// CallAttributes returns the attributes with which a call is counted.
func CallAttributes(call string, err error) []attribute.KeyValue {
	result := "ok"
	if err != nil {
		result = "error"
	}
	return []attribute.KeyValue{attribute.String("call", call), attribute.String("result", result)}
}
