package leaf

import (
	"encoding/json"
	"fmt"
	"net/http"

	"balsamwinch.example/snapshot"
)

// Paths of the control endpoint.
const (
	CountsPath     = "/counts"     // returns Counts
	FaultsPath     = "/faults"     // returns Faults, or sets them by POST
	VersionsPath   = "/versions"   // accepts a NewVersion by POST and returns the Record
	PartitionsPath = "/partitions" // accepts a NewPartition by POST and returns the Record
	DrainPath      = "/drain"      // starts a drain by POST and returns the Record
	RecordPath     = "/record"     // returns the Record
)

// NewVersion requests a newer index version; 0 means the next one.
type NewVersion struct {
	Version uint64
}

// NewPartition requests a snapshot of another partition map, of which the Leaf holds the given
// shards. A zero Version means the newest one.
type NewPartition struct {
	Partition uint64
	Version   uint64
	Shards    []string
}

func (le *Leaf) controlHandler() http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("GET "+CountsPath, func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, le.Counts()) })
	mx.HandleFunc("GET "+RecordPath, func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, le.Record()) })
	mx.HandleFunc("GET "+FaultsPath, func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, le.Faults()) })
	mx.HandleFunc("POST "+FaultsPath, le.handleFaults)
	mx.HandleFunc("POST "+VersionsPath, le.handleVersion)
	mx.HandleFunc("POST "+PartitionsPath, le.handlePartition)
	mx.HandleFunc("POST "+DrainPath, func(rw http.ResponseWriter, _ *http.Request) {
		le.Drain()
		writeJSON(rw, le.Record())
	})
	return mx
}

func (le *Leaf) handleFaults(rw http.ResponseWriter, hr *http.Request) {
	var fa Faults
	if !decodeStrict(rw, hr, &fa) {
		return
	}
	if err := fa.check(); err != nil {
		http.Error(rw, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	le.SetFaults(fa)
	writeJSON(rw, fa)
}

func (le *Leaf) handleVersion(rw http.ResponseWriter, hr *http.Request) {
	var nv NewVersion
	if !decodeStrict(rw, hr, &nv) {
		return
	}
	le.Publish(nv.Version)
	writeJSON(rw, le.Record())
}

func (le *Leaf) handlePartition(rw http.ResponseWriter, hr *http.Request) {
	var np NewPartition
	if !decodeStrict(rw, hr, &np) {
		return
	}
	if np.Partition == 0 {
		http.Error(rw, "Partition: want a number from 1, got 0", http.StatusUnprocessableEntity)
		return
	}
	le.Repartition(snapshot.ID{Partition: np.Partition, Version: np.Version}, np.Shards)
	writeJSON(rw, le.Record())
}

func decodeStrict(rw http.ResponseWriter, hr *http.Request, out any) bool {
	de := json.NewDecoder(http.MaxBytesReader(rw, hr.Body, maxRequestBytes))
	de.DisallowUnknownFields()
	if err := de.Decode(out); err != nil {
		http.Error(rw, fmt.Sprintf("want a %T: %v", out, err), http.StatusBadRequest)
		return false
	}
	return true
}
