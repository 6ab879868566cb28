package forward

import (
	"net/http"
	"strconv"
	"strings"

	"nickelline/internal/admission"
)

// maxLoadFigure is more than any figure of a load can be.
const maxLoadFigure = 1 << 20

// parseServerLoad reads the load that a backend reports: requests running, requests waiting, and slots. It returns nil
// unless all three are valid.
func parseServerLoad(field string) *admission.Load {
	running, rest, _ := strings.Cut(field, ",")
	waiting, slots, found := strings.Cut(rest, ",")
	if !found {
		return nil
	}
	var load admission.Load
	for _, figure := range [...]struct {
		text  string
		value *int
	}{{running, &load.Running}, {waiting, &load.Waiting}, {slots, &load.Slots}} {
		value, err := strconv.Atoi(strings.TrimSpace(figure.text))
		if err != nil || value < 0 || value > maxLoadFigure {
			return nil
		}
		*figure.value = value
	}
	return &load
}

// isStream reports whether an answer is a stream of events.
func isStream(header http.Header) bool {
	media, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(media), EventStream)
}
