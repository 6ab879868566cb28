package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"nickelline/decide"
)

// The outcome codes of the wire format, which are the values of the key disposition.
const (
	codeOK            = 0
	codeCancelled     = 1
	codeTimeout       = 4
	codeFull          = 8
	codeNotSent       = 9
	codeReset         = 10
	codeError         = 13
	codeConnectFailed = 14
)

var outcomeCodes = map[int]decide.OutcomeCode{
	codeOK:            decide.OK,
	codeCancelled:     decide.Cancelled,
	codeTimeout:       decide.TimedOut,
	codeFull:          decide.Full,
	codeNotSent:       decide.NotSent,
	codeReset:         decide.Reset,
	codeError:         decide.BackendError,
	codeConnectFailed: decide.ConnectFailed,
}

// outcomeJSON holds the fields of attempt and probe events. Each kind of event has only some of them.
type outcomeJSON struct {
	Request *string                    `json:"req"`
	Attempt *int                       `json:"leg"`
	Backend *uint32                    `json:"backend"`
	Over    bool                       `json:"over"`
	Elapsed int64                      `json:"delay_seen_ns"`
	Code    *int                       `json:"disposition"`
	Report  map[string]json.RawMessage `json:"feedback"`
}

// decodeOutcome decodes the fields, of which only backend is required.
func decodeOutcome(raw json.RawMessage) (outcomeJSON, error) {
	var in outcomeJSON
	if err := json.Unmarshal(raw, &in); err != nil {
		return in, err
	}
	if in.Backend == nil {
		return in, missingFieldError("backend")
	}
	return in, nil
}

// checkAttempt returns an error unless the object identifies a request and one of its attempts.
func (o *outcomeJSON) checkAttempt() error {
	if o.Request == nil {
		return missingFieldError("req")
	}
	if o.Attempt == nil {
		return missingFieldError("leg")
	}
	return nil
}

// outcomeCode returns the outcome that the key disposition stands for.
func (o *outcomeJSON) outcomeCode() (decide.OutcomeCode, error) {
	if o.Code == nil {
		return 0, missingFieldError("disposition")
	}
	code, known := outcomeCodes[*o.Code]
	if !known {
		return 0, fmt.Errorf("unknown disposition %d", *o.Code)
	}
	return code, nil
}

func decodeAttemptEnd(raw json.RawMessage) (decide.Event, error) {
	in, err := decodeOutcome(raw)
	if err != nil {
		return nil, err
	}
	if err := in.checkAttempt(); err != nil {
		return nil, err
	}
	code, err := in.outcomeCode()
	if err != nil {
		return nil, err
	}
	return decide.AttemptEnded{
		ID:              decide.RequestID(*in.Request),
		Attempt:         *in.Attempt,
		Backend:         decide.BackendID(*in.Backend),
		RequestAnswered: in.Over,
		Elapsed:         time.Duration(in.Elapsed),
		Code:            code,
		Report:          decodeReport(in.Report),
	}, nil
}

func decodeProbeResult(raw json.RawMessage) (decide.Event, error) {
	in, err := decodeOutcome(raw)
	if err != nil {
		return nil, err
	}
	code, err := in.outcomeCode()
	if err != nil {
		return nil, err
	}
	return decide.ProbeEnded{
		Backend: decide.BackendID(*in.Backend),
		Code:    code,
		Elapsed: time.Duration(in.Elapsed),
		Report:  decodeReport(in.Report),
	}, nil
}

func decodeStreamStart(raw json.RawMessage) (decide.Event, error) {
	in, err := decodeOutcome(raw)
	if err != nil {
		return nil, err
	}
	if err := in.checkAttempt(); err != nil {
		return nil, err
	}
	return decide.StreamStarted{
		ID:      decide.RequestID(*in.Request),
		Attempt: *in.Attempt,
		Backend: decide.BackendID(*in.Backend),
		Elapsed: time.Duration(in.Elapsed),
	}, nil
}
