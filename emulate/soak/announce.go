package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"balsamwinch.example/emulate"
	"balsamwinch.example/identifier"
	"balsamwinch.example/registry"
)

// invalidInterval is the time between two calls to a control instance by a writer that is no
// backend server.
const invalidInterval = 10 * time.Millisecond

// announceInvalid sends announcements and leaves that no backend server can have sent to each
// control instance. The error names one that was acknowledged.
func (ij *injector) announceInvalid(ctx context.Context, fa Fault) error {
	ctx, cancel := context.WithTimeout(ctx, fa.For)
	defer cancel()
	return concurrently(ij.lo.ControlAddresses(), func(address string) error {
		rd := rand.New(rand.NewPCG(uint64(fa.At), uint64(fa.For)))
		co := emulate.NewControlClient([]string{address})
		defer co.Close()
		for ij.ts.Sleep(ctx, invalidInterval) == nil {
			if se := drawInvalid(rd, ij.cf.plainServices()); sendInvalidAnnouncement(ctx, co, se) == nil {
				return fmt.Errorf("acknowledged %.200q", fmt.Sprint(se))
			}
		}
		return nil
	})
}

func sendInvalidAnnouncement(ctx context.Context, co *emulate.ControlClient, se registry.Server) error {
	if se.State == registry.Gone {
		return co.Leave(ctx, se.ID)
	}
	return co.Announce(ctx, se)
}

// drawInvalid draws a record that Check rejects.
func drawInvalid(rd *rand.Rand, services []string) registry.Server {
	for {
		se := registry.Server{
			ID: fmt.Sprintf("invalid-%d", rd.IntN(10)), Service: services[rd.IntN(len(services))], Address: "127.0.0.1:9",
			DataCentre: "miraflores", Version: "v1", Slots: 1 + rd.IntN(8), State: registry.State(rd.IntN(3)), Sequence: rd.Uint64N(1000), Born: 1 + rd.Int64N(1e12),
		}
		text := drawText(rd)
		switch rd.IntN(6) {
		case 0:
			se.Service = text
		case 1:
			se.Version = text
		case 2:
			se.DataCentre = text
		case 3:
			se.Slots = 1 << (21 + rd.IntN(40))
		default:
			se.ID = text
		}
		if identifier.Check("ID", se.ID) != nil {
			return se
		}
		// JSON replaces bytes that aren't UTF-8, and a leave has only the ID.
		if err := se.Check(); err != nil && se.State != registry.Gone && !strings.HasSuffix(err.Error(), "want UTF-8") {
			return se
		}
	}
}

// drawText draws bytes of any kind and length.
func drawText(rd *rand.Rand) string {
	switch rd.IntN(4) {
	case 0:
		bs := make([]byte, 1+rd.IntN(40))
		for ix := range bs {
			bs[ix] = byte(rd.Uint32())
		}
		return string(bs)
	case 1:
		return "i-1\r\n\r\nGET /hidden HTTP/1.1\r\nHost: " + host
	case 2:
		return strings.Repeat("x", 257+rd.IntN(6000))
	default:
		return "i-\xc3" + strings.Repeat("\x00", rd.IntN(3))
	}
}
