package control

import (
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"nickelline/internal/control/controlapi"
	"nickelline/internal/fault"
)

// retryAfterSeconds is the Retry-After header, in seconds, of the response to a call that was certainly not executed.
const retryAfterSeconds = "0.3"

// writeError responds with the status of an error's kind and the error's text for the operator.
func writeError(request *app.RequestContext, err error) {
	response := fault.ResponseFor(fault.KindOf(err))
	if response.NotExecuted {
		request.Header("Retry-After", retryAfterSeconds)
	}
	writeJSON(request, response.Status, controlapi.ErrorBody{Error: errorText(err)})
}

func errorText(err error) string {
	if text := merry.UserMessage(err); text != "" {
		return text
	}
	return err.Error()
}

func writeJSON(request *app.RequestContext, status int, reply any) {
	body, err := json.Marshal(reply)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	request.Data(status, "application/json", body)
}
