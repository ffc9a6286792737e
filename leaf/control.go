package leaf

import (
	"encoding/json"
	"fmt"
	"net/http"

	"balsamwinch.example/snapshot"
)

// The paths of the control endpoint.
const (
	CountsPath     = "/counts"     // CountsPath gives Counts.
	FaultsPath     = "/faults"     // FaultsPath gives Faults, or takes them by POST.
	VersionsPath   = "/versions"   // VersionsPath takes a NewVersion by POST and gives the Record.
	PartitionsPath = "/partitions" // PartitionsPath takes a NewPartition by POST and gives the Record.
	DrainPath      = "/drain"      // DrainPath takes a POST and gives the Record.
	RecordPath     = "/record"     // RecordPath gives the Record.
)

// NewVersion asks for a newer index version; 0 takes the next one.
type NewVersion struct {
	Version uint64
}

// NewPartition asks for a snapshot of another partition map, of which the Leaf
// holds the given shards. A zero Version takes the newest one.
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
	mx.HandleFunc("POST "+FaultsPath, le.takeFaults)
	mx.HandleFunc("POST "+VersionsPath, le.takeVersion)
	mx.HandleFunc("POST "+PartitionsPath, le.takePartition)
	mx.HandleFunc("POST "+DrainPath, func(rw http.ResponseWriter, _ *http.Request) {
		le.Drain()
		writeJSON(rw, le.Record())
	})
	return mx
}

func (le *Leaf) takeFaults(rw http.ResponseWriter, hr *http.Request) {
	var fa Faults
	if !readStrict(rw, hr, &fa) {
		return
	}
	if err := fa.check(); err != nil {
		http.Error(rw, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	le.SetFaults(fa)
	writeJSON(rw, fa)
}

func (le *Leaf) takeVersion(rw http.ResponseWriter, hr *http.Request) {
	var nv NewVersion
	if !readStrict(rw, hr, &nv) {
		return
	}
	le.Publish(nv.Version)
	writeJSON(rw, le.Record())
}

func (le *Leaf) takePartition(rw http.ResponseWriter, hr *http.Request) {
	var np NewPartition
	if !readStrict(rw, hr, &np) {
		return
	}
	if np.Partition == 0 {
		http.Error(rw, "Partition: want a number from 1, got 0", http.StatusUnprocessableEntity)
		return
	}
	le.Repartition(snapshot.ID{Partition: np.Partition, Version: np.Version}, np.Shards)
	writeJSON(rw, le.Record())
}

func readStrict(rw http.ResponseWriter, hr *http.Request, out any) bool {
	de := json.NewDecoder(http.MaxBytesReader(rw, hr.Body, maxRequestBytes))
	de.DisallowUnknownFields()
	if err := de.Decode(out); err != nil {
		http.Error(rw, fmt.Sprintf("want a %T: %v", out, err), http.StatusBadRequest)
		return false
	}
	return true
}
