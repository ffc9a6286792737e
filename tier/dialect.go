package tier

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
	"unicode/utf8"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/gateway"
	"balsamwinch.example/registry"
	"balsamwinch.example/result"
	"balsamwinch.example/route"
)

// Dialect defines the interface to operators, backend servers and callers: header names,
// the format of configurations, and the HTTP APIs.
type Dialect interface {
	// HeaderNames returns the names of the headers.
	HeaderNames() gateway.HeaderNames
	// NewParser returns a new parser for accepted configurations.
	NewParser() ConfigurationParser
	// ControlHandler returns the API for operators and backend servers.
	ControlHandler(co ControlAPI) http.Handler
	// AddressHandler returns the API that tells callers which entry instances to use.
	AddressHandler(ad AddressAPI) http.Handler
	// ReadyHandler returns the readiness check of an entry instance.
	ReadyHandler(ready func() bool) http.Handler
}

// ConfigurationParser parses accepted configurations one after the other. It may cache
// parts that successive configurations are likely to share. It is not safe for concurrent
// use.
type ConfigurationParser interface {
	Parse(data []byte) (*route.Table, error)
}

// ParseSubmitted parses a configuration that an operator sends. Beyond what parse rejects, it
// rejects bytes that aren't UTF-8 and texts that can't be written everywhere. An accepted
// configuration is parsed without these checks.
func ParseSubmitted(parse func(data []byte) (*route.Table, error), data []byte) (*route.Table, error) {
	if !utf8.Valid(data) {
		return nil, &result.Error{Code: result.Invalid, Op: "read configuration", Detail: "want UTF-8"}
	}
	tb, err := parse(data)
	if err != nil {
		return nil, err
	}
	return tb, tb.CheckTexts()
}

// ControlAPI is what a control instance offers to operators and backend servers. Errors
// are of type *result.Error.
type ControlAPI interface {
	// Accept commits a configuration unless a higher version is in force. It returns nil
	// once a majority has persisted it.
	Accept(ctx context.Context, version uint64, data []byte) error
	// Newest returns the latest committed configuration, or an error if this instance
	// can't be sure which one that is.
	Newest(ctx context.Context) (version uint64, data []byte, err error)
	// Evacuate evacuates a data centre, so that its backend servers get no requests, or
	// ends its evacuation. It returns nil once a majority has persisted the change. from
	// is the operator's address, for the log.
	Evacuate(ctx context.Context, dataCentre string, evacuate bool, from string) error
	// Evacuated returns the evacuated data centres that this instance knows of.
	Evacuated() evacuation.Set
	// Announce processes an announcement of a backend server. A server that leaves is
	// announced with the state Gone, and Born tells which start of it leaves. If it is
	// Draining or Gone, Announce returns nil once enough control instances have stored that,
	// and an error if they can't be reached in time; it is known here all the same. The error
	// has the code Invalid if Check rejects the server; then nothing changes. from is the
	// address that the call came from, for the log.
	Announce(ctx context.Context, se registry.Server, from string) error
	// Leave removes a backend server that says that it leaves. It returns as Announce does.
	Leave(ctx context.Context, id, from string) error
	// Ignore records that an announcement from an address was ignored because no backend
	// server can have sent it. detail gives the reason.
	Ignore(id, from, detail string)
	// BodyLimit returns the maximum size of a request body in bytes.
	BodyLimit() int64
}

// AcceptStatus returns the HTTP status for an operator whose configuration parsed, given
// the error that Accept returned. 200 means that it is accepted. 413 means that it is
// larger than control instances can store: size is the only reason for which Accept
// rejects a valid configuration, and a 5xx would make the operator retry forever. 503
// means that the outcome is unknown and the operator should retry.
func AcceptStatus(err error) int {
	var re *result.Error
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &re) && re.Code == result.Invalid:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// MaxAnnouncementBytes is the maximum size of the body of a backend server's call.
const MaxAnnouncementBytes = 16 << 10

// AnnounceStatus returns the HTTP status for a backend server's call, given the error that
// Announce or Leave returned: 200 if it is acknowledged, 400 if no backend server can have
// sent it, and 503 if the backend server should call another instance.
func AnnounceStatus(err error) int {
	var re *result.Error
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &re) && re.Code == result.Invalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// EvacuateStatus returns the HTTP status for an operator's evacuation order, given the
// error that Evacuate returned: 200 if it is committed, 404 if the data centre can't
// exist, and 503 if the outcome is unknown.
func EvacuateStatus(err error) int {
	var re *result.Error
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &re) && re.Code == result.Invalid:
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}

// AddressAPI serves address look-ups of callers.
type AddressAPI interface {
	// Addresses returns the entry instances to use, those in the data centre first, and
	// how long the caller may keep the list.
	Addresses(host, dataCentre, region string) ([]string, time.Duration)
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(wr http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		wr.WriteHeader(http.StatusInternalServerError)
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(data)
}
