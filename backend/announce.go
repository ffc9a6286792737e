package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"go.uber.org/zap"

	"balsamwinch.example/result"
)

// maxRecordBytes bounds the body of an announcement.
const maxRecordBytes = 1 << 20

// Refusal is the response body for an announcement that was rejected.
type Refusal struct {
	Code   result.Code
	Detail string
	Faults []RecordFault `json:",omitempty"` // all faults of the record
}

var errTrailingData = errors.New("want one record, got more behind it")

// NewAnnounceHandler returns the handler of AnnouncePath. It accepts a record
// by POST and responds with what accept returns for it. A record with a fault
// or an unknown field is rejected with a Refusal.
func NewAnnounceHandler(accept func(Record) AnnounceReply, lg *zap.Logger) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		if hr.Method != http.MethodPost {
			rw.Header().Set("Allow", http.MethodPost)
			refuse(rw, http.StatusMethodNotAllowed, Refusal{Detail: "want POST, got " + hr.Method})
			return
		}
		re, err := readRecord(http.MaxBytesReader(rw, hr.Body, maxRecordBytes))
		if err != nil {
			lg.Info("backend.announce.unreadable", zap.String("From", hr.RemoteAddr), zap.Error(err))
			refuse(rw, unreadableStatus(err), Refusal{Detail: err.Error()})
			return
		}
		if fs := re.Check(); len(fs) > 0 {
			lg.Info("backend.announce.refused", zap.String("From", hr.RemoteAddr), zap.String("Server", re.Server), zap.Any("Faults", fs))
			refuse(rw, http.StatusUnprocessableEntity, Refusal{Detail: "the record has faults", Faults: fs})
			return
		}
		writeJSON(rw, http.StatusOK, accept(re))
	})
}

func readRecord(rd io.Reader) (Record, error) {
	var re Record
	de := json.NewDecoder(rd)
	de.DisallowUnknownFields()
	if err := de.Decode(&re); err != nil {
		return re, fmt.Errorf("want a record as JSON: %w", err)
	}
	if _, err := de.Token(); !errors.Is(err, io.EOF) {
		return re, errTrailingData
	}
	return re, nil
}

func unreadableStatus(err error) int {
	var tl *http.MaxBytesError
	if errors.As(err, &tl) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func refuse(rw http.ResponseWriter, status int, re Refusal) {
	re.Code = result.NotRunBadRequest
	writeJSON(rw, status, re)
}

func writeJSON(rw http.ResponseWriter, status int, va any) {
	bs, err := json.Marshal(va)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(bs)
}
