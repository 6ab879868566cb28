package store

import (
	"strings"

	"nickelline/internal/admission"
	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"nickelline/internal/store/scheduler"
)

// admissionRequest returns what admission has to know of an item to choose a backend.
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

// headerPromptPrefix names the segments of an item's prompt, each as ID:TOKENS, with commas between them. The last one belongs to
// the item alone.
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
