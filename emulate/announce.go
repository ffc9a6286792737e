package emulate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"balsamwinch.example/registry"
	"balsamwinch.example/result"
)

// Announcer receives the announcements of backend servers.
type Announcer interface {
	// Announce publishes the state of a server. A nil error means that it was received.
	Announce(ctx context.Context, se registry.Server) error
	// Leave announces that a server has left for good.
	Leave(ctx context.Context, id string) error
}

// controlTimeout bounds one call to a control instance.
const controlTimeout = time.Second

// ControlClient calls the control instances in turn until one accepts the call. It is
// safe for concurrent use. Errors are *result.Error.
type ControlClient struct {
	addresses []string
	hc        *http.Client
	next      atomic.Uint64
}

var _ Announcer = (*ControlClient)(nil)

// NewControlClient returns a client of the control instances at the addresses, each
// IP:port.
func NewControlClient(addresses []string) *ControlClient {
	return &ControlClient{addresses: slices.Clone(addresses), hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: controlTimeout}}
}

// Close closes the idle connections.
func (co *ControlClient) Close() { co.hc.CloseIdleConnections() }

// Announce sends the state of a server to a control instance.
func (co *ControlClient) Announce(ctx context.Context, se registry.Server) error {
	data, err := json.Marshal(announcement{
		Service: se.Service, Address: se.Address, DataCentre: se.DataCentre, Version: se.Version,
		Slots: se.Slots, State: se.State.String(), Sequence: se.Sequence, WarmMillis: se.WarmMillis, Born: se.Born,
	})
	if err != nil {
		return err
	}
	_, err = co.call(ctx, http.MethodPut, "/servers/"+url.PathEscape(se.ID), data)
	return err
}

// Leave tells a control instance that a server has left.
func (co *ControlClient) Leave(ctx context.Context, id string) error {
	_, err := co.call(ctx, http.MethodDelete, "/servers/"+url.PathEscape(id), nil)
	return err
}

// Configure submits a configuration and returns once it is accepted.
func (co *ControlClient) Configure(ctx context.Context, data []byte) error {
	_, err := co.call(ctx, http.MethodPut, "/configuration", data)
	return err
}

// LatestConfiguration returns the latest accepted configuration.
func (co *ControlClient) LatestConfiguration(ctx context.Context) ([]byte, error) {
	return co.call(ctx, http.MethodGet, "/configuration", nil)
}

// Evacuate evacuates a data centre.
func (co *ControlClient) Evacuate(ctx context.Context, dataCentre string) error {
	_, err := co.call(ctx, http.MethodPut, "/evacuations/"+url.PathEscape(dataCentre), nil)
	return err
}

// WithdrawEvacuation withdraws the evacuation of a data centre.
func (co *ControlClient) WithdrawEvacuation(ctx context.Context, dataCentre string) error {
	_, err := co.call(ctx, http.MethodDelete, "/evacuations/"+url.PathEscape(dataCentre), nil)
	return err
}

// call tries each control instance once, starting with a different one on each call.
func (co *ControlClient) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	first := co.next.Add(1)
	lastErr := &result.Error{Code: result.ControlUnavailable, Op: method + " " + path, Detail: "no control instance is known"}
	for ix := range uint64(len(co.addresses)) {
		data, status, err := co.callInstance(ctx, method, co.addresses[(first+ix)%uint64(len(co.addresses))], path, body)
		switch {
		case err == nil && status == http.StatusOK:
			return data, nil
		case err == nil && (status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge):
			return nil, &result.Error{Code: result.NotRunBadRequest, Op: method + " " + path, Detail: string(data)}
		case err == nil:
			err = fmt.Errorf("status %d: %s", status, data)
		}
		lastErr.Detail, lastErr.Err = "no control instance accepted the call", err
	}
	return nil, lastErr
}

func (co *ControlClient) callInstance(ctx context.Context, method, address, path string, body []byte) ([]byte, int, error) {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	rs, err := co.hc.Do(rq)
	if err != nil {
		return nil, 0, err
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	return data, rs.StatusCode, err
}

func sortedKeys[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }
