package processtest

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/samber/oops"

	platformstandin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
)

// inject begins or ends a fault of the platform.
func (c *Cluster) inject(ctx context.Context, fault platformstandin.Fault) error {
	text, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	return c.callPlatform(ctx, http.MethodPost, platformstandin.FaultPath, string(text), nil)
}

// callPlatform calls an endpoint of the platform stand-in that is not part of the store's protocol.
func (c *Cluster) callPlatform(ctx context.Context, method, path, body string, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.platformAddress+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return oops.In("processtest").Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return oops.In("processtest").Errorf("%s was answered with status %d", path, response.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(out)
}
