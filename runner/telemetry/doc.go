// Package telemetry provides a node's metrics, trace spans and asynchronous log.
package telemetry
