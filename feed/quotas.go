package feed

import (
	"slices"
	"strings"

	"balsamwinch.example/peer"
	"balsamwinch.example/quota"
)

// QuotaRequest asks a control instance for tokens of customers with a quota.
type QuotaRequest struct {
	ID      uint64       `cbor:"1,keyasint"`
	Version uint64       `cbor:"2,keyasint,omitempty"` // version of the configuration in force at the entry instance
	Wants   []quota.Want `cbor:"3,keyasint,omitempty"`
}

// Kind returns the kind of the message.
func (QuotaRequest) Kind() peer.Kind { return kindQuotaRequest }

// QuotaGrant answers a QuotaRequest.
type QuotaGrant struct {
	ID      uint64        `cbor:"1,keyasint"`           // QuotaRequest.ID
	Refusal quota.Refusal `cbor:"2,keyasint,omitempty"` // why nothing is granted to anyone
	Grants  []quota.Grant `cbor:"3,keyasint,omitempty"` // one for each Want, unless there is a Refusal
}

// Kind returns the kind of the message.
func (QuotaGrant) Kind() peer.Kind { return kindQuotaGrant }

// answerQuotas answers an entry instance's request for tokens.
func (pu *Publisher) answerQuotas(sb *subscriber, rq QuotaRequest) {
	gr := QuotaGrant{ID: rq.ID, Refusal: quota.NotVoting}
	if pu.cf.GrantQuotas != nil {
		gr = pu.cf.GrantQuotas(sb.en.Name, rq)
	}
	_ = sb.co.Send(gr) // Reading from the link reports its end.
}

// QuotaOwners returns the control instances that may be asked for tokens: those that
// understand quotas and whose snapshot has arrived, by address. The slice is shared and must
// not be changed.
func (su *Subscriber) QuotaOwners() []quota.OwnerRef {
	if ows := su.quotaOwners.Load(); ows != nil {
		return *ows
	}
	return nil
}

// SendQuotaRequest sends a request for tokens to the control instance at an address. It
// reports whether there is a link to it. It does not block.
func (su *Subscriber) SendQuotaRequest(address string, rq QuotaRequest) bool {
	su.mu.Lock()
	defer su.mu.Unlock()
	for so, co := range su.conns {
		if so.address == address {
			return co.Send(rq) == nil
		}
	}
	return false
}

// receiveQuotaGrant handles an answer. The goroutine of the link calls it, since that of
// Serve may be busy with a new configuration while requests wait for the answer.
func (su *Subscriber) receiveQuotaGrant(so *source, gr QuotaGrant) {
	if su.cf.QuotaGranted != nil {
		su.cf.QuotaGranted(so.address, gr)
	}
}

// updateQuotaOwners publishes the control instances that may be asked for tokens. The
// goroutine of Serve calls it.
func (su *Subscriber) updateQuotaOwners() {
	var ows []quota.OwnerRef
	for _, so := range su.sources {
		if so.connected.Load() && Features(so.features.Load()).Has(FeatureQuotas) {
			ows = append(ows, quota.OwnerRef{Address: so.address, Name: so.name, Near: so.sameDataCentre})
		}
	}
	slices.SortFunc(ows, func(a, b quota.OwnerRef) int { return strings.Compare(a.Address, b.Address) })
	su.quotaOwners.Store(&ows)
}
