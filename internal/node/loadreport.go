package node

import (
	"strconv"
	"strings"

	"nickelline/decide"
	"nickelline/internal/wire"
)

// maxLoadFigure is more than any figure of a load report can be.
const maxLoadFigure = 1e6

// parseReport parses a load report, a list of name=value. It returns nil unless all values are valid and some name is
// known.
func parseReport(text string) *decide.Report {
	var report decide.Report
	known := false
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		figure, err := strconv.ParseFloat(value, 64)
		if err != nil || !(figure >= 0 && figure <= maxLoadFigure) {
			return nil
		}
		known = wire.SetReport(&report, name, figure) || known
	}
	if !known {
		return nil
	}
	return &report
}
