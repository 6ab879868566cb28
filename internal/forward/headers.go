package forward

// Names of the header fields of the protocol between proxy and backends, in canonical form.
const (
	HeaderAttemptID         = "Nickelline-Attempt-Id"
	HeaderDeadlineRemaining = "Nickelline-Deadline-Remaining-Ms"
	HeaderExpectedInstance  = "Nickelline-Expected-Instance"
	HeaderLastEventID       = "Last-Event-Id"
	HeaderNotExecuted       = "Nickelline-Not-Executed"
	HeaderResponseSeal      = "Nickelline-Response-Seal"
	HeaderServerLoad        = "Nickelline-Server-Load"
	HeaderTenant            = "Nickelline-Tenant-Name"
)

// EventStream is the media type of server-sent events.
const EventStream = "text/event-stream"
