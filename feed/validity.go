package feed

import (
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/registry"
)

// validServers returns the records that Check accepts and writes a line for each other one,
// with a field that says where they come from. Instances of earlier releases sent and saved
// whatever a backend server announced.
func validServers(now time.Time, ll *limitedLogger, ses []registry.Server, source zap.Field) []registry.Server {
	for ix, se := range ses {
		if se.Check() == nil {
			continue
		}
		valid := append([]registry.Server{}, ses[:ix]...)
		for _, se := range ses[ix:] {
			if err := se.Check(); err != nil {
				logInvalid(now, ll, se, err, source)
				continue
			}
			valid = append(valid, se)
		}
		return valid
	}
	return ses
}

// validChanges is validServers for changes. A drop has only an id, which is just looked up.
func validChanges(now time.Time, ll *limitedLogger, chs []registry.Change, source zap.Field) []registry.Change {
	valid := chs[:0]
	for _, ch := range chs {
		if err := ch.Server.Check(); err != nil && !ch.Dropped {
			logInvalid(now, ll, ch.Server, err, source)
			continue
		}
		valid = append(valid, ch)
	}
	return valid
}

func logInvalid(now time.Time, ll *limitedLogger, se registry.Server, err error, source zap.Field) {
	ll.info(now, "backend-server-invalid", zap.String("ID", se.ID), source, zap.Error(err))
}
