package control

import (
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"nickelline/internal/control/controlapi"
	"nickelline/internal/fault"
)

// retryAfterSeconds is the pause before a retry that a caller is advised of when its call was certainly not executed.
const retryAfterSeconds = "0.3"

// answerError answers with the status of an error's kind, and its text for the operator.
func answerError(request *app.RequestContext, err error) {
	answer := fault.ResponseFor(fault.KindOf(err))
	if answer.NotExecuted {
		request.Header("Retry-After", retryAfterSeconds)
	}
	answerJSON(request, answer.Status, controlapi.ErrorBody{Error: errorText(err)})
}

func errorText(err error) string {
	if text := merry.UserMessage(err); text != "" {
		return text
	}
	return err.Error()
}

func answerJSON(request *app.RequestContext, status int, reply any) {
	body, err := json.Marshal(reply)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	request.Data(status, "application/json", body)
}
