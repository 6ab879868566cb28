package wire

import (
	"encoding/json"
	"strconv"
	"time"

	"nickelline/decide"
)

// decodeReport decodes a load report. It skips unknown keys and values that are not numbers. If nothing is left, it
// returns nil.
func decodeReport(values map[string]json.RawMessage) *decide.Report {
	var report decide.Report
	known := false
	for name, raw := range values {
		value, err := strconv.ParseFloat(string(raw), 64)
		if err != nil {
			continue
		}
		known = SetReportField(&report, name, value) || known
	}
	if !known {
		return nil
	}
	return &report
}

// SetReportField sets the field of a load report that has the given name, either in the simulator's events or in a header of
// a real backend. It reports whether the name is known.
func SetReportField(report *decide.Report, name string, value float64) bool {
	switch name {
	case "active", "inflight":
		report.InFlight, report.HasInFlight = value, true
	case "waiting", "queue":
		report.Queue, report.HasQueue = value, true
	case "cpu", "util":
		report.Utilisation = value
	case "avg_ms", "latency_ms":
		report.ServiceTime = time.Duration(value * float64(time.Millisecond))
	case "rps", "qps":
		report.Rate = value
	case "err_rps", "eps":
		report.ErrorRate = value
	default:
		return false
	}
	return true
}
