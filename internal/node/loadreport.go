package node

import (
	"strconv"
	"strings"

	"nickelline/decide"
	"nickelline/internal/wire"
)

// maxLoadValue is an upper bound for all values of a load report.
const maxLoadValue = 1e6

// parseLoadReport parses a load report, a comma-separated list of name=value. It returns nil unless all values are
// valid and at least one name is known.
func parseLoadReport(header string) *decide.Report {
	var report decide.Report
	known := false
	for field := range strings.SplitSeq(header, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0 && value <= maxLoadValue) {
			return nil
		}
		known = wire.SetReportField(&report, name, value) || known
	}
	if !known {
		return nil
	}
	return &report
}
