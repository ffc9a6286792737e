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

// judgePeriod is the time between two looks at what entry instances saw.
const judgePeriod = 50 * time.Millisecond

// collectors is how many control instances get what an entry instance saw. A second one
// costs 25 bytes a sample; without it, nobody learns of anything while the only one hangs
// and its links have not ended yet, which took 4 s.
const collectors = 2

// outliers is a detector with its lock. Samples come on all links at once.
type outliers struct {
	mu sync.Mutex
	de *outlier.Detector
}

func (ou *outliers) add(now time.Time, from string, sas []outlier.Sample) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	ou.de.Add(now, from, sas)
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
	pu.tellAll(Findings{Findings: fis})
}

// SendSeen sends what this entry instance saw of backend servers to the control
// instances that the others send theirs to, too: of those that have told all they know
// and whose link isn't silent, the two with the lowest addresses. While some entry
// instances have no link to one, theirs goes to another one; each then judges by less,
// and nothing worse.
func (su *Subscriber) SendSamples(sas []outlier.Sample) {
	if len(sas) == 0 {
		return
	}
	su.mu.Lock()
	defer su.mu.Unlock()
	for _, co := range su.collectors() {
		_ = co.Send(Observations{Samples: sas}) // The end of the link is seen where it is read.
	}
}

// collectors returns the links of the control instances that judge. One that hangs
// accepts links but tells nothing, so that a link alone doesn't count.
func (su *Subscriber) collectors() []*link.Conn {
	now := su.ts.Now()
	var sos []*source
	for so, co := range su.conns {
		if so.up.Load() && now.Sub(co.Heard()) < 2*su.cf.Link.Ping {
			sos = append(sos, so)
		}
	}
	slices.SortFunc(sos, func(a, b *source) int { return strings.Compare(a.address, b.address) })
	cos := make([]*link.Conn, 0, collectors)
	for _, so := range sos[:min(collectors, len(sos))] {
		cos = append(cos, su.conns[so])
	}
	return cos
}

// heard is a finding that this instance was told.
type heard struct {
	fi outlier.Finding
	at time.Time
	so *source
}

// echo is for how long a finding that another control instance tells as well says
// nothing new. The collectors see the same and find it within two judgePeriods.
const echo = 500 * time.Millisecond

// found takes in what all entry instances together saw of backend servers.
func (su *Subscriber) found(so *source, fis []outlier.Finding) {
	now := su.ts.Now()
	var news []outlier.Finding
	for _, fi := range fis {
		if was, ok := su.heard[fi.ID]; ok && was.so != so && now.Sub(was.at) < echo && fi.SimilarTo(was.fi) {
			continue
		}
		su.heard[fi.ID] = heard{fi: fi, at: now, so: so}
		su.lo.info(now, "outlier-heard", append(findingFields(fi), zap.String("Control", so.name))...)
		news = append(news, fi)
	}
	maps.DeleteFunc(su.heard, func(_ string, he heard) bool { return now.Sub(he.at) >= outlier.FindingTTL })
	if len(news) > 0 {
		su.ob.OutliersFound(news)
	}
}

func findingFields(fi outlier.Finding) []zap.Field {
	return []zap.Field{
		zap.String("ID", fi.ID), zap.Float32("Slowness", fi.Slowness),
		zap.Float32("Failures", fi.Failures), zap.Bool("Clear", fi.Healthy()),
	}
}
