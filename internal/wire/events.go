package wire

import (
	"encoding/json"
	"errors"
	"time"

	"nickelline/decide"
)

// The bits of the flags field of a submit event.
const (
	flagHint  = 1 // cost_guess_ns is set
	flagRetry = 2 // the client has tried before
	flagWrite = 4 // the request is a write
)

// decodeEvent decodes an event of the given name from its value.
func decodeEvent(name string, raw json.RawMessage) (Event, error) {
	switch name {
	case "up":
		return decodeStart(raw)
	case "retire":
		return Event{Retire: true}, nil
	}
	event, err := decodeModuleEvent(name, raw)
	if err != nil {
		return Event{}, err
	}
	return Event{Module: event}, nil
}

func decodeModuleEvent(name string, raw json.RawMessage) (decide.Event, error) {
	switch name {
	case "submit":
		return decodeRequest(raw)
	case "attempt_end":
		return decodeAttemptEnd(raw)
	case "probe_result":
		return decodeProbeResult(raw)
	case "streaming":
		return decodeStreamStart(raw)
	case "due":
		return decodeTimer(raw)
	case "abandoned":
		return decodeAbandoned(raw)
	case "note_from":
		return decodeMessage(raw)
	case "roster_change":
		return decodeList(raw)
	}
	return nil, errors.New("unknown event")
}

func decodeRequest(raw json.RawMessage) (decide.Event, error) {
	var in struct {
		Request  *string `json:"req"`
		Class    string  `json:"band"`
		Tenant   any     `json:"user_group"` // a string, if the request has a tenant
		Key      string  `json:"partition_key"`
		Patience *int64  `json:"patience_left_ns"`
		WorkHint int64   `json:"cost_guess_ns"`
		Flags    int     `json:"flags"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	if in.Request == nil {
		return nil, missingFieldError("req")
	}
	if in.Patience == nil {
		return nil, missingFieldError("patience_left_ns")
	}
	tenant, _ := in.Tenant.(string)
	return decide.RequestArrived{
		ID:       decide.RequestID(*in.Request),
		Class:    in.Class,
		Tenant:   tenant,
		Key:      in.Key,
		Patience: time.Duration(*in.Patience),
		WorkHint: time.Duration(in.WorkHint),
		HasHint:  in.Flags&flagHint != 0,
		Retry:    in.Flags&flagRetry != 0,
		Write:    in.Flags&flagWrite != 0,
	}, nil
}

func decodeTimer(raw json.RawMessage) (decide.Event, error) {
	var in struct {
		Token *int64 `json:"label"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	if in.Token == nil {
		return nil, missingFieldError("label")
	}
	return decide.TimerFired{Token: *in.Token}, nil
}

func decodeAbandoned(raw json.RawMessage) (decide.Event, error) {
	var in struct {
		Request *string `json:"req"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	if in.Request == nil {
		return nil, missingFieldError("req")
	}
	return decide.RequestAbandoned{ID: decide.RequestID(*in.Request)}, nil
}

func decodeMessage(raw json.RawMessage) (decide.Event, error) {
	var in struct {
		From *int   `json:"from"`
		Data []byte `json:"bytes"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	if in.From == nil {
		return nil, missingFieldError("from")
	}
	return decide.MessageReceived{From: *in.From, Data: in.Data}, nil
}
