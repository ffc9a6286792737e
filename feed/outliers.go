package feed

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/link"
	"balsamwinch.example/outlier"
)

// outlierInterval is the time between two evaluations of the observations.
const outlierInterval = 50 * time.Millisecond

// numCollectors is how many control instances get an entry instance's samples. A second
// one costs 25 bytes a sample. Without it, no outlier was found for 4 s when the only one
// hung and its links hadn't ended yet.
const numCollectors = 2

// lockedDetector guards a detector. Samples arrive on all links concurrently.
type lockedDetector struct {
	mu sync.Mutex
	de *outlier.Detector
}

func (ld *lockedDetector) add(now time.Time, from string, sas []outlier.Sample) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.de.Add(now, from, sas)
}

func (ld *lockedDetector) findings(now time.Time) []outlier.Finding {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.de.Findings(now)
}

// publishFindings broadcasts new findings about backend servers to all entry instances.
func (pu *Publisher) publishFindings(now time.Time) {
	fis := pu.detector.findings(now)
	if len(fis) == 0 {
		return
	}
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for _, fi := range fis {
		pu.ll.info(now, "outlier-found", findingFields(fi)...)
	}
	pu.broadcast(Findings{Findings: fis})
}

// SendSamples sends this entry instance's samples of backend servers to the collectors:
// the two control instances with the lowest addresses of those whose snapshot has arrived
// and whose link isn't silent. All entry instances choose the same ones. If some have no
// link to one of them, they use another one; each then evaluates fewer samples, with no
// other harm.
func (su *Subscriber) SendSamples(sas []outlier.Sample) {
	if len(sas) == 0 {
		return
	}
	su.mu.Lock()
	defer su.mu.Unlock()
	for _, co := range su.collectorLinks(0) {
		_ = co.Send(Observations{Samples: sas}) // Reading from the link reports its end.
	}
}

// collectorLinks returns the links to the collectors that understand the features. A link
// alone isn't enough: a control instance that hangs accepts links but sends nothing.
func (su *Subscriber) collectorLinks(fe Features) []*link.Conn {
	now := su.ts.Now()
	var sos []*source
	for so, co := range su.conns {
		if so.connected.Load() && Features(so.features.Load()).Has(fe) && now.Sub(co.LastReceived()) < 2*su.cf.Link.PingInterval {
			sos = append(sos, so)
		}
	}
	slices.SortFunc(sos, func(a, b *source) int { return strings.Compare(a.address, b.address) })
	cos := make([]*link.Conn, 0, numCollectors)
	for _, so := range sos[:min(numCollectors, len(sos))] {
		cos = append(cos, su.conns[so])
	}
	return cos
}

// receivedFinding is a finding with its source and time.
type receivedFinding struct {
	fi outlier.Finding
	at time.Time
	so *source
}

// duplicateInterval is how long the same finding from another control instance is
// ignored. The collectors get the same samples and find the same within twice
// outlierInterval.
const duplicateInterval = 500 * time.Millisecond

// receiveFindings handles findings of a control instance.
func (su *Subscriber) receiveFindings(so *source, fis []outlier.Finding) {
	now := su.ts.Now()
	var fresh []outlier.Finding
	for _, fi := range fis {
		if was, ok := su.findings[fi.ID]; ok && was.so != so && now.Sub(was.at) < duplicateInterval && fi.SimilarTo(was.fi) {
			continue
		}
		su.findings[fi.ID] = receivedFinding{fi: fi, at: now, so: so}
		su.ll.info(now, "outlier-heard", append(findingFields(fi), zap.String("Control", so.name))...)
		fresh = append(fresh, fi)
	}
	maps.DeleteFunc(su.findings, func(_ string, rf receivedFinding) bool { return now.Sub(rf.at) >= outlier.FindingTTL })
	if len(fresh) > 0 {
		su.ob.OutliersFound(fresh)
	}
}

func findingFields(fi outlier.Finding) []zap.Field {
	return []zap.Field{
		zap.String("ID", fi.ID), zap.Float32("Slowness", fi.Slowness),
		zap.Float32("Failures", fi.Failures), zap.Bool("Clear", fi.Healthy()),
	}
}
