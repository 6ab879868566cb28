package forward

import (
	"net/http"
	"strconv"
	"strings"

	"nickelline/internal/admission"
)

// maxLoadValue is greater than any plausible value in a load report.
const maxLoadValue = 1 << 20

// parseServerLoad parses the load that a backend reports: requests running, requests waiting, and slots, separated by
// commas. It returns nil unless all three are valid.
func parseServerLoad(field string) *admission.Load {
	running, rest, _ := strings.Cut(field, ",")
	waiting, slots, found := strings.Cut(rest, ",")
	if !found {
		return nil
	}
	var load admission.Load
	for _, item := range [...]struct {
		text  string
		value *int
	}{{running, &load.Running}, {waiting, &load.Waiting}, {slots, &load.Slots}} {
		value, err := strconv.Atoi(strings.TrimSpace(item.text))
		if err != nil || value < 0 || value > maxLoadValue {
			return nil
		}
		*item.value = value
	}
	return &load
}

// isStream reports whether a response is a stream of events.
func isStream(header http.Header) bool {
	media, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(media), EventStream)
}
