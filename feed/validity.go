package feed

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/registry"
)

// validServers removes the records that Check rejects, in place, and writes a line for each, with
// a field that says where they come from. Instances of earlier releases sent and saved whatever a
// backend server announced.
func validServers(now time.Time, ll *limitedLogger, ses []registry.Server, source zap.Field) []registry.Server {
	return slices.DeleteFunc(ses, func(se registry.Server) bool { return isInvalid(now, ll, se, source) })
}

// validChanges is validServers for changes. A drop has only an id, which is just looked up.
func validChanges(now time.Time, ll *limitedLogger, chs []registry.Change, source zap.Field) []registry.Change {
	return slices.DeleteFunc(chs, func(ch registry.Change) bool { return !ch.Dropped && isInvalid(now, ll, ch.Server, source) })
}

// isInvalid reports whether Check rejects a record, and writes a line then.
func isInvalid(now time.Time, ll *limitedLogger, se registry.Server, source zap.Field) bool {
	err := se.Check()
	if err != nil {
		ll.info(now, "backend-server-invalid", zap.String("ID", se.ID), source, zap.Error(err))
	}
	return err != nil
}
