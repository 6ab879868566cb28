package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/control/controlapi"
)

// Configuration returns the current configuration as JSON.
func (c *Client) Configuration(ctx context.Context) ([]byte, error) {
	answer, err := c.doOK(ctx, call{method: http.MethodGet, path: controlapi.ConfigurationPath})
	return answer.body, err
}

// Put replaces the configuration if currentVersion is its version, and returns the new version.
func (c *Client) Put(ctx context.Context, currentVersion uint64, body []byte) (uint64, error) {
	return c.changeConfiguration(ctx, http.MethodPut, currentVersion, body)
}

// Patch merges a patch into the configuration if currentVersion is its version, and returns the new version.
func (c *Client) Patch(ctx context.Context, currentVersion uint64, body []byte) (uint64, error) {
	return c.changeConfiguration(ctx, http.MethodPatch, currentVersion, body)
}

func (c *Client) changeConfiguration(ctx context.Context, method string, currentVersion uint64, body []byte) (uint64, error) {
	var accepted controlapi.ConfigurationAccepted
	err := c.doJSON(ctx, call{
		method:  method,
		path:    controlapi.ConfigurationPath,
		ifMatch: strconv.FormatUint(currentVersion, 10),
		body:    body,
	}, &accepted)
	return accepted.Version, err
}

// Retire requests the retirement of the store on a node: its data is moved to other stores.
func (c *Client) Retire(ctx context.Context, node string, duration time.Duration) error {
	body, err := json.Marshal(controlapi.RetireRequest{DurationS: duration.Seconds()})
	if err != nil {
		return err
	}
	_, err = c.doOK(ctx, call{method: http.MethodPost, path: retirePath(node), body: body})
	return err
}

// IsRetired reports whether the retirement of the store on a node is complete: the store holds no data any more.
func (c *Client) IsRetired(ctx context.Context, node string) (bool, error) {
	var retirement controlapi.Retirement
	err := c.doJSON(ctx, call{method: http.MethodGet, path: retirePath(node)}, &retirement)
	return retirement.State == controlapi.RetirementCompleted, err
}

func retirePath(node string) string { return controlapi.RetirePath + url.PathEscape(node) }

// Status returns the status of the system as the node that answers sees it.
func (c *Client) Status(ctx context.Context) (*controlapi.Status, error) {
	status := &controlapi.Status{}
	err := c.doJSON(ctx, call{method: http.MethodGet, path: controlapi.StatusPath}, status)
	return status, err
}

// doJSON makes a call and decodes the JSON of its answer.
func (c *Client) doJSON(ctx context.Context, call call, into any) error {
	answer, err := c.doOK(ctx, call)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return merry.Prepend(err, "decode the answer of the node")
	}
	return nil
}

// doOK makes a call. It returns a *RefusedError for any definite answer other than status 200.
func (c *Client) doOK(ctx context.Context, call call) (reply, error) {
	answer, err := c.do(ctx, call)
	if err != nil {
		return reply{}, err
	}
	if answer.status != http.StatusOK {
		return reply{}, newRefusedError(answer)
	}
	return answer, nil
}
