package proxy

import (
	"strconv"
	"strings"

	"nickelline/internal/admission"
	"nickelline/internal/configuration"
)

const (
	headerTokenUsage   = "Nickelline-Token-Usage"
	headerPromptPrefix = "Nickelline-Prompt-Prefix"
)

// admissionRequest returns the properties of a request by which admission selects a backend.
func admissionRequest(r *request, route *configuration.Route, tenant *configuration.Tenant) admission.Request {
	a := admission.Request{Priority: route.Priority, Tokens: tokenCount(r.header.Get(headerTokenUsage))}
	if tenant != nil && tenant.HasPriority {
		a.Priority = tenant.Priority
	}
	if route.SessionAffinity {
		a.Prefix = promptSegments(r.header.Get(headerPromptPrefix))
	}
	return a
}

// tokenCount returns the sum of the comma-separated numbers of a token usage, or 0 if one of them is invalid.
func tokenCount(usage string) int {
	sum := 0
	for field := range strings.SplitSeq(usage, ",") {
		count, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || count < 0 {
			return 0
		}
		sum += count
	}
	return sum
}

// promptSegments returns the ids of the segments of a prompt prefix. The last segment is specific to the request or its
// session.
func promptSegments(prefix string) []string {
	if prefix == "" {
		return nil
	}
	segments := make([]string, 0, strings.Count(prefix, ",")+1)
	for segment := range strings.SplitSeq(prefix, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(segment), ":")
		segments = append(segments, id)
	}
	return segments
}
