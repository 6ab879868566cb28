package forward

import (
	"net/http"
	"strconv"
	"strings"

	"nickelline/internal/admission"
)

// mostLoad is more than any figure of a load can be.
const maxLoadFigure = 1 << 20

// parseLoad reads what a backend tells of itself: requests running, requests waiting and slots. What makes no sense in
// all its parts is nothing.
func parseServerLoad(field string) *admission.Load {
	running, rest, _ := strings.Cut(field, ",")
	waiting, slots, found := strings.Cut(rest, ",")
	if !found {
		return nil
	}
	var load admission.Load
	for _, part := range [...]struct {
		text  string
		value *int
	}{{running, &load.Running}, {waiting, &load.Waiting}, {slots, &load.Slots}} {
		value, err := strconv.Atoi(strings.TrimSpace(part.text))
		if err != nil || value < 0 || value > maxLoadFigure {
			return nil
		}
		*part.value = value
	}
	return &load
}

// isStream tells whether an answer is a stream of events.
func isStream(header http.Header) bool {
	media, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(media), EventStream)
}
