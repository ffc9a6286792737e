package fleet

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
	"balsamwinch.example/wal"
)

// state is what the replicated log says. It is immutable, and the same on every
// voter at the same index.
type state struct {
	Document  document   `cbor:"1,keyasint"`
	Members   []Member   `cbor:"2,keyasint"` // Members are the addresses of voters and learners, by name.
	Formation *Formation `cbor:"3,keyasint"`
	// Evacuations are the data centres whose backend servers get no requests.
	Evacuations evacuation.Set `cbor:"4,keyasint"`
}

// command is one command in the log; exactly one field is set.
type command struct {
	Document *document `cbor:"1,keyasint,omitempty"`
	Member   *Member   `cbor:"2,keyasint,omitempty"`
	// Evacuation is an order to evacuate a data centre or to withdraw that.
	Evacuation *orderCommand `cbor:"3,keyasint,omitempty"`
}

// orderCommand is an order in the log. The leader that appended it finds who waits for it
// by ID.
type orderCommand struct {
	ID    uint64            `cbor:"1,keyasint"`
	Order evacuation.Change `cbor:"2,keyasint"`
}

// fields counts the fields that are set.
func (cm command) fields() int {
	count := 0
	for _, set := range []bool{cm.Document != nil, cm.Member != nil, cm.Evacuation != nil} {
		if set {
			count++
		}
	}
	return count
}

// encoding gives the same bytes for the same value everywhere.
var encoding = func() cbor.EncMode {
	em, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return em
}()

func (cm command) encode() []byte { return mustEncode(cm) }

func (st state) encode() []byte { return mustEncode(st) }

func mustEncode(va any) []byte {
	data, err := encoding.Marshal(va)
	if err != nil {
		panic(err) // Structs of strings, numbers and bytes always have an encoding.
	}
	return data
}

func decodeCommand(data []byte) (command, error) {
	var cm command
	if err := cbor.Unmarshal(data, &cm); err != nil {
		return cm, &result.Error{Code: result.DamagedState, Op: "read command", Err: err}
	}
	if cm.fields() != 1 {
		return cm, &result.Error{Code: result.DamagedState, Op: "read command", Detail: "want a document, a member or an evacuation"}
	}
	return cm, nil
}

func decodeState(data []byte) (state, error) {
	var st state
	if len(data) == 0 {
		return st, nil
	}
	if err := cbor.Unmarshal(data, &st); err != nil {
		return st, &result.Error{Code: result.DamagedState, Op: "read snapshot", Err: err}
	}
	return st, nil
}

// with returns the state after a command. A document whose version is not higher
// than the present one changes nothing.
func (st state) with(cm command) state {
	switch {
	case cm.Document != nil && cm.Document.Version > st.Document.Version:
		st.Document = *cm.Document
	case cm.Member != nil:
		st.Members = slices.DeleteFunc(slices.Clone(st.Members), func(me Member) bool { return me.Name == cm.Member.Name })
		st.Members = append(st.Members, *cm.Member)
		slices.SortFunc(st.Members, compareMembers)
	case cm.Evacuation != nil:
		st.Evacuations, _ = st.Evacuations.Apply(cm.Evacuation.Order)
	}
	return st
}

// withVoters returns the state after a change of the voter set. Addresses of
// instances that are no longer in it are forgotten.
func (st state) withVoters(vs quorum.VoterSet) state {
	st.Members = slices.DeleteFunc(slices.Clone(st.Members), func(me Member) bool {
		of := func(id quorum.ID) bool { return nameOf(id) == me.Name }
		return !slices.ContainsFunc(vs.Voters, of) && !slices.ContainsFunc(vs.Learners, of)
	})
	return st
}

// address returns the address of a voter or learner, or "".
func (st state) address(name string) string {
	for _, me := range st.Members {
		if me.Name == name {
			return me.Address
		}
	}
	return ""
}

// firstSnapshot is the same on every first voter, so that their logs start equal.
func (fo Formation) firstSnapshot() wal.Snapshot {
	st := state{Formation: &fo, Members: fo.Members}
	return wal.Snapshot{Index: 1, Term: 1, Voters: quorum.VoterSet{Voters: fo.Voters}, Data: st.encode()}
}

func compareMembers(aa, bb Member) int { return strings.Compare(aa.Name, bb.Name) }

// diskID returns the identity of a voter: the instance's name and its disk.
func diskID(name, disk string) quorum.ID {
	return quorum.ID(name + "/" + disk)
}

// nameOf returns the instance's name in a voter's identity.
func nameOf(id quorum.ID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}
