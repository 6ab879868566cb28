package store

import (
	"strings"

	"nickelline/internal/admission"
	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"nickelline/internal/store/scheduler"
)

// admissionRequest returns the request by which admission chooses a backend for an item.
func admissionRequest(snapshot *configuration.Snapshot, route *configuration.Route, item *scheduler.Item) admission.Request {
	request := admission.Request{
		Batch:    true,
		Urgent:   item.Job.Urgency.IsUrgent(),
		Priority: route.Priority,
		Tokens:   int(item.Pending.Tokens),
		Prefix:   sharedPrefix(&item.Pending),
	}
	if tenant := snapshot.TenantByName(item.Job.Pending.Key.Tenant); tenant != nil && tenant.HasPriority {
		request.Priority = tenant.Priority
	}
	if avoid := item.AvoidBackend; avoid != "" {
		request.Exclude = func(id string) bool { return id == avoid }
	}
	return request
}

// headerPromptPrefix is the header that lists the segments of an item's prompt as ID:TOKENS, separated by commas. The last segment
// is specific to the item.
const headerPromptPrefix = "Nickelline-Prompt-Prefix"

// sharedPrefix returns the ids of the segments of an item's prompt that other items may share.
func sharedPrefix(item *batch.PendingItem) []string {
	for _, header := range item.Headers {
		if strings.EqualFold(header.Name, headerPromptPrefix) {
			return sharedSegments(header.Value)
		}
	}
	return nil
}

// sharedSegments returns the ids of all segments but the last.
func sharedSegments(headerValue string) []string {
	segments := strings.Split(headerValue, ",")
	shared := make([]string, 0, len(segments))
	for _, segment := range segments[:len(segments)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(segment), ":")
		shared = append(shared, id)
	}
	return shared
}
