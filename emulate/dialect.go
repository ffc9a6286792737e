package emulate

import (
	"encoding/json"
	"net/http"

	"balsamwinch.example/gateway"
	"balsamwinch.example/registry"
	"balsamwinch.example/route"
	"balsamwinch.example/tier"
)

// The header names of the dialect.
const (
	headerRequestID    = "Request-Id"
	headerDeadline     = "Timeout-Millis"
	headerExpectServer = "Expect-Server"
	headerStamp        = "Server-Stamp"
	headerNotRun       = "Not-Run"
	headerServerLoad   = "Server-Load"
	headerServerID     = "Server-Id"
	headerPartStamps   = "Part-Stamps"
	headerMissingParts = "Missing-Parts"
	headerCustomer     = "Customer"
)

// Dialect is the HTTP dialect of the project itself. Operators call PUT and GET
// /configuration, backend servers PUT and DELETE /servers/{id}, callers GET
// /addresses?DataCentre=NAME, and GET /ready reports whether an entry instance serves
// callers.
type Dialect struct{}

var _ tier.Dialect = Dialect{}

// HeaderNames returns the header names.
func (Dialect) HeaderNames() gateway.HeaderNames {
	return gateway.HeaderNames{
		RequestID: headerRequestID, Deadline: headerDeadline, ExpectServer: headerExpectServer,
		Stamp: headerStamp, NotRun: headerNotRun, ServerLoad: headerServerLoad,
		ServerID: headerServerID, PartStamps: headerPartStamps, MissingParts: headerMissingParts,
		Customer: headerCustomer,
	}
}

// Parse parses a configuration in YAML or JSON. The error lists its faults.
func (Dialect) Parse(data []byte) (*route.Table, error) { return parseTable(data) }

// NewParser returns a parser for successive configurations.
func (di Dialect) NewParser() tier.ConfigurationParser { return di }

// ControlHandler serves operators and backend servers.
func (Dialect) ControlHandler(co tier.ControlAPI) http.Handler {
	mx := http.NewServeMux()
	ch := &controlHandler{co: co}
	mx.HandleFunc("PUT /configuration", ch.putConfiguration)
	mx.HandleFunc("GET /configuration", ch.getConfiguration)
	mx.HandleFunc("GET /evacuations", ch.listEvacuations)
	mx.HandleFunc("PUT /evacuations/{DataCentre}", ch.evacuate)
	mx.HandleFunc("DELETE /evacuations/{DataCentre}", ch.evacuate)
	mx.HandleFunc("PUT /servers/{id}", ch.announce)
	mx.HandleFunc("DELETE /servers/{id}", ch.leave)
	return mx
}

// AddressHandler serves the list of entry instances that callers should use.
func (Dialect) AddressHandler(ad tier.AddressAPI) http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("GET /addresses", func(wr http.ResponseWriter, rq *http.Request) {
		qu := rq.URL.Query()
		list, ttl := ad.Addresses(qu.Get("Host"), qu.Get("DataCentre"), qu.Get("Region"))
		tier.WriteJSON(wr, http.StatusOK, addressList{Addresses: list, TTLMillis: ttl.Milliseconds()})
	})
	return mx
}

// ReadyHandler reports whether an entry instance serves callers.
func (Dialect) ReadyHandler(ready func() bool) http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("GET /ready", func(wr http.ResponseWriter, _ *http.Request) {
		if !ready() {
			writeError(wr, http.StatusServiceUnavailable, "not ready")
			return
		}
		tier.WriteJSON(wr, http.StatusOK, struct{}{})
	})
	return mx
}

type addressList struct {
	Addresses []string
	TTLMillis int64
}

type evacuationList struct {
	Revision    uint64
	DataCentres []string
}

type errorResponse struct {
	Detail string
}

// announcement is the body of a backend server's announcement; the server's ID is in the
// path.
type announcement struct {
	Service    string
	Address    string
	DataCentre string
	Version    string
	Slots      int
	State      string // Ready or Draining
	Sequence   uint64
	WarmMillis int64
	Born       int64 `json:",omitempty"` // start time of the server in Unix milliseconds; optional
}

const invalidStateDetail = "State: want Ready or Draining"

type controlHandler struct {
	co tier.ControlAPI
}

func (ch *controlHandler) putConfiguration(wr http.ResponseWriter, rq *http.Request) {
	data, ok := ch.readBody(wr, rq, ch.co.BodyLimit())
	if !ok {
		return
	}
	tb, err := tier.ParseSubmitted(parseTable, data)
	if err != nil {
		writeError(wr, http.StatusBadRequest, err.Error())
		return
	}
	if err := ch.co.Accept(rq.Context(), tb.Version(), data); err != nil {
		writeError(wr, tier.AcceptStatus(err), err.Error())
		return
	}
	tier.WriteJSON(wr, http.StatusOK, struct{}{})
}

func (ch *controlHandler) getConfiguration(wr http.ResponseWriter, rq *http.Request) {
	_, data, err := ch.co.Newest(rq.Context())
	if err != nil {
		writeError(wr, http.StatusServiceUnavailable, err.Error())
		return
	}
	wr.Header().Set("Content-Type", "application/yaml")
	_, _ = wr.Write(data)
}

// listEvacuations responds with the evacuated data centres that this instance knows of.
func (ch *controlHandler) listEvacuations(wr http.ResponseWriter, _ *http.Request) {
	tier.WriteJSON(wr, http.StatusOK, evacuationList(ch.co.Evacuated()))
}

// evacuate handles PUT, which evacuates a data centre, and DELETE, which withdraws the
// evacuation.
func (ch *controlHandler) evacuate(wr http.ResponseWriter, rq *http.Request) {
	err := ch.co.Evacuate(rq.Context(), rq.PathValue("DataCentre"), rq.Method == http.MethodPut, rq.RemoteAddr)
	if err != nil {
		writeError(wr, tier.EvacuateStatus(err), err.Error())
		return
	}
	tier.WriteJSON(wr, http.StatusOK, struct{}{})
}

func (ch *controlHandler) announce(wr http.ResponseWriter, rq *http.Request) {
	data, ok := ch.readBody(wr, rq, tier.MaxAnnouncementBytes)
	if !ok {
		return
	}
	var an announcement
	if err := json.Unmarshal(data, &an); err != nil {
		ch.co.Ignore(rq.PathValue("id"), rq.RemoteAddr, err.Error())
		writeError(wr, http.StatusBadRequest, err.Error())
		return
	}
	se := registry.Server{
		ID: rq.PathValue("id"), Service: an.Service, Address: an.Address, DataCentre: an.DataCentre, Version: an.Version,
		Slots: an.Slots, Sequence: an.Sequence, WarmMillis: an.WarmMillis, Born: an.Born,
	}
	switch an.State {
	case registry.Ready.String():
	case registry.Draining.String():
		se.State = registry.Draining
	default:
		ch.co.Ignore(se.ID, rq.RemoteAddr, invalidStateDetail)
		writeError(wr, http.StatusBadRequest, invalidStateDetail)
		return
	}
	acknowledge(wr, ch.co.Announce(rq.Context(), se, rq.RemoteAddr))
}

func (ch *controlHandler) leave(wr http.ResponseWriter, rq *http.Request) {
	acknowledge(wr, ch.co.Leave(rq.Context(), rq.PathValue("id"), rq.RemoteAddr))
}

// acknowledge acknowledges the call of a backend server, rejects it, or asks the server to
// call another control instance.
func acknowledge(wr http.ResponseWriter, err error) {
	if err != nil {
		writeError(wr, tier.AnnounceStatus(err), err.Error())
		return
	}
	tier.WriteJSON(wr, http.StatusOK, struct{}{})
}

func (ch *controlHandler) readBody(wr http.ResponseWriter, rq *http.Request, limit int64) ([]byte, bool) {
	data, status, detail := gateway.ReadBody(wr, rq, limit)
	if status != 0 {
		writeError(wr, status, detail)
	}
	return data, status == 0
}

func writeError(wr http.ResponseWriter, status int, detail string) {
	tier.WriteJSON(wr, status, errorResponse{detail})
}
