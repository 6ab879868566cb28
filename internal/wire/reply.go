package wire

import (
	"encoding/base64"
	"encoding/json"
	"strconv"

	"nickelline/decide"
)

// Reply holds the actions of one instance, in order.
type Reply struct {
	Node    int
	Actions []decide.Action
}

// AppendReply appends the line that answers a batch, including its line feed. Instances without actions are left out.
func AppendReply(line []byte, replies []Reply) []byte {
	line = append(line, `{"groups":[`...)
	first := true
	for _, reply := range replies {
		if len(reply.Actions) == 0 {
			continue
		}
		if !first {
			line = append(line, ',')
		}
		first = false
		line = appendGroup(line, reply)
	}
	return append(line, "]}\n"...)
}

func appendGroup(line []byte, reply Reply) []byte {
	line = appendInt(line, `{"node_id":`, int64(reply.Node))
	line = append(line, `,"actions":[`...)
	for i, action := range reply.Actions {
		if i > 0 {
			line = append(line, ',')
		}
		line = appendAction(line, action)
	}
	return append(line, "]}"...)
}

func appendAction(line []byte, action decide.Action) []byte {
	switch a := action.(type) {
	case decide.Send:
		line = appendSend(line, a)
	case decide.Refuse:
		line = appendText(line, `{"deny":{"req":`, string(a.ID))
		if a.RetryAfter > 0 {
			line = appendInt(line, `,"hold_off_ns":`, int64(a.RetryAfter))
		}
	case decide.Fail:
		line = appendText(line, `{"fail":{"req":`, string(a.ID))
	case decide.CancelAttempt:
		line = appendText(line, `{"stop_attempt":{"req":`, string(a.ID))
		line = appendInt(line, `,"leg":`, int64(a.Attempt))
	case decide.SetTimer:
		line = appendInt(line, `{"arm":{"from_now_ns":`, int64(a.After))
		line = appendInt(line, `,"label":`, a.Token)
	case decide.Probe:
		line = appendInt(line, `{"probe":{"backend":`, int64(a.Backend))
	case decide.SendMessage:
		line = appendMessage(line, a)
	case decide.Subscribe:
		line = append(line, `{"subscribe":{"want":`...)
		line = strconv.AppendBool(line, a.On)
	case decide.FetchList:
		line = append(line, `{"reload":{`...)
	case decide.CloseIdle:
		line = appendInt(line, `{"disconnect":{"backend":`, int64(a.Backend))
	case decide.Log:
		line = appendText(line, `{"trace":{"message":`, a.Line)
	}
	return append(line, "}}"...)
}

func appendSend(line []byte, send decide.Send) []byte {
	line = appendText(line, `{"assign":{"req":`, string(send.ID))
	line = appendInt(line, `,"backend":`, int64(send.Backend))
	if send.Timeout != 0 {
		line = appendInt(line, `,"try_for_ns":`, int64(send.Timeout))
	}
	return line
}

func appendMessage(line []byte, message decide.SendMessage) []byte {
	if message.ToAll {
		line = append(line, `{"tell":{"dest":"*"`...)
	} else {
		line = appendInt(line, `{"tell":{"dest":`, int64(message.To))
	}
	return appendText(line, `,"bytes":`, base64.StdEncoding.EncodeToString(message.Data))
}

// appendInt appends a number after the given JSON prefix.
func appendInt(line []byte, prefix string, value int64) []byte {
	return strconv.AppendInt(append(line, prefix...), value, 10)
}

// appendText appends a string in JSON quotes after the given JSON prefix.
func appendText(line []byte, prefix, text string) []byte {
	quoted, err := json.Marshal(text)
	if err != nil { // json.Marshal never fails on a string
		panic(err)
	}
	return append(append(line, prefix...), quoted...)
}
