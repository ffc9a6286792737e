package tier

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/gateway"
	"balsamwinch.example/registry"
	"balsamwinch.example/result"
	"balsamwinch.example/route"
)

// Dialect is how the outside speaks: the names of headers, the format of a
// configuration, and the calls of operators, backend servers and callers.
type Dialect interface {
	// Names returns the header names.
	Names() gateway.HeaderNames
	// Tables returns what reads accepted configurations one after the other.
	Tables() ConfigurationParser
	// ControlHandler serves operators and backend servers.
	ControlHandler(co ControlAPI) http.Handler
	// AddressHandler tells callers which entry instances to use.
	AddressHandler(ad AddressAPI) http.Handler
	// ReadyHandler tells whether this instance serves callers.
	ReadyHandler(ready func() bool) http.Handler
}

// Tables reads accepted configurations one after the other. Of each it may keep what the
// next one is likely to have in common with it. It is used by one goroutine at a time.
type ConfigurationParser interface {
	Table(data []byte) (*route.Table, error)
}

// ControlCalls are what a control instance does for operators and backend
// servers. Errors are *result.Error.
type ControlAPI interface {
	// Accept makes a configuration the one in force unless a higher version is
	// held. It returns nil once a majority has it on disk.
	Accept(ctx context.Context, version uint64, data []byte) error
	// Newest returns the newest accepted configuration, or an error if this
	// instance can't be sure which it is.
	Newest(ctx context.Context) (version uint64, data []byte, err error)
	// Evacuate has the backend servers of a data centre get no requests, or get them
	// again. It returns nil once a majority has the order on disk. From is the operator's
	// address, for the log.
	Evacuate(ctx context.Context, dataCentre string, evacuate bool, from string) error
	// Evacuated returns which data centres are evacuated as far as this instance knows.
	Evacuated() evacuation.Set
	// Announce takes a backend server's announcement, Gone for one that leaves and
	// says which start of it does.
	Announce(se registry.Server)
	// Leave takes a backend server's word that it leaves.
	Leave(id string)
	// Ignore takes that something was announced under an id which no backend server
	// says of itself, and why.
	Ignore(id, detail string)
	// BodyLimit bounds a body of these calls in bytes.
	BodyLimit() int64
}

// AcceptStatus returns the HTTP status with which a dialect answers an operator
// whose configuration was sound and was given to Accept, which returned the error.
// 200 says that it is accepted. 413 says that it is larger than control keeps: a
// sound one is invalid for control only for that, and 5xx would have the operator
// send it again for ever. 503 says that the outcome is unknown and that it is to be
// sent again.
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

// EvacuateStatus returns the HTTP status with which a dialect answers an operator whose
// order was given to Evacuate, which returned the error: 200 for one that is in force, 404
// for a data centre that there can't be, and 503 for an outcome that is unknown.
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

// AddressCalls answer callers that ask where to connect.
type AddressAPI interface {
	// Addresses returns the entry instances to use, those in the data centre
	// first, and for how long the answer may be kept.
	Addresses(host, dataCentre, region string) ([]string, time.Duration)
}

// WriteJSON answers a call with a body in JSON.
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
