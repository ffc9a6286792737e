package feed

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/link"
	"balsamwinch.example/outlier"
)

// judgePeriod is the time between two looks at what entry instances saw.
const judgePeriod = 100 * time.Millisecond

// outliers is a detector with its lock. Samples come on all links at once.
type outliers struct {
	mu sync.Mutex
	de *outlier.Detector
}

func (ou *outliers) add(now time.Time, sas []outlier.Sample) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	ou.de.Add(now, sas)
}

func (ou *outliers) findings(now time.Time) []outlier.Finding {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	return ou.de.Findings(now)
}

// judge tells all entry instances what was found of backend servers.
func (pu *Publisher) judge(now time.Time) {
	fis := pu.outliers.findings(now)
	if len(fis) == 0 {
		return
	}
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for _, fi := range fis {
		pu.lo.info(now, "outlier-found", findingFields(fi)...)
	}
	pu.tellAll(Found{Findings: fis})
}

// SendSeen sends what this entry instance saw of backend servers to the control
// instance that the others send theirs to, too: of those with a link, the one with
// the lowest address. While some entry instances have no link to it, theirs goes to
// another one; each then judges by less, and nothing worse.
func (su *Subscriber) SendSeen(sas []outlier.Sample) {
	if len(sas) == 0 {
		return
	}
	su.mu.Lock()
	defer su.mu.Unlock()
	lowest := ""
	var to *link.Conn
	for so, co := range su.conns {
		if to == nil || so.address < lowest {
			lowest, to = so.address, co
		}
	}
	if to != nil {
		_ = to.Send(Seen{Samples: sas}) // The end of the link is seen where it is read.
	}
}

// found takes in what all entry instances together saw of backend servers.
func (su *Subscriber) found(so *source, fis []outlier.Finding) {
	now := su.ts.Now()
	for _, fi := range fis {
		su.lo.info(now, "outlier-heard", append(findingFields(fi), zap.String("Control", so.name))...)
	}
	su.ob.OutliersFound(fis)
}

func findingFields(fi outlier.Finding) []zap.Field {
	return []zap.Field{
		zap.String("ID", fi.ID), zap.Float32("Slowness", fi.Slowness),
		zap.Float32("Failures", fi.Failures), zap.Bool("Clear", fi.Clear()),
	}
}
