package fleet

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"balsamwinch.example/codec"
	"balsamwinch.example/evacuation"
	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
	"balsamwinch.example/wal"
)

// state is the replicated state machine. It is immutable, and equal on all voters at the
// same index.
type state struct {
	Document  document   `cbor:"1,keyasint"`
	Members   []Member   `cbor:"2,keyasint"` // Members are the addresses of voters and learners, by name.
	Formation *Formation `cbor:"3,keyasint"`
	// Evacuations are the data centres whose backend servers receive no requests.
	Evacuations evacuation.Set `cbor:"4,keyasint"`
}

// command is a command in the log; exactly one field is set.
type command struct {
	Document *document `cbor:"1,keyasint,omitempty"`
	Member   *Member   `cbor:"2,keyasint,omitempty"`
	// Evacuation starts or ends the evacuation of a data centre.
	Evacuation *orderCommand `cbor:"3,keyasint,omitempty"`
}

// orderCommand is an evacuation order in the log. By ID, the leader that appended it finds
// the pending request.
type orderCommand struct {
	ID    uint64            `cbor:"1,keyasint"`
	Order evacuation.Change `cbor:"2,keyasint"`
}

// numFields returns the number of fields that are set.
func (cm command) numFields() int {
	num := 0
	for _, set := range []bool{cm.Document != nil, cm.Member != nil, cm.Evacuation != nil} {
		if set {
			num++
		}
	}
	return num
}

// canonicalEncoding encodes equal values to equal bytes.
var canonicalEncoding = func() cbor.EncMode {
	em, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return em
}()

func (cm command) encode() []byte { return mustEncode(cm) }

func (st state) encode() []byte { return mustEncode(st) }

func mustEncode(va any) []byte {
	data, err := canonicalEncoding.Marshal(va)
	if err != nil {
		panic(err) // Structs of strings, numbers and bytes always have an encoding.
	}
	return data
}

func decodeCommand(data []byte) (command, error) {
	var cm command
	if err := codec.Unmarshal(data, &cm); err != nil {
		return cm, &result.Error{Code: result.DamagedState, Op: "read command", Err: err}
	}
	if cm.numFields() != 1 {
		return cm, &result.Error{Code: result.DamagedState, Op: "read command", Detail: "exactly one of document, member and evacuation must be set"}
	}
	return cm, nil
}

func decodeState(data []byte) (state, error) {
	var st state
	if len(data) == 0 {
		return st, nil
	}
	if err := codec.Unmarshal(data, &st); err != nil {
		return st, &result.Error{Code: result.DamagedState, Op: "read snapshot", Err: err}
	}
	return st, nil
}

// withCommand returns the state after a command. A document whose version is not higher
// than the current one changes nothing.
func (st state) withCommand(cm command) state {
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

// withVoters returns the state after a change of the voter set. Addresses of instances that
// are no longer members are removed.
func (st state) withVoters(vs quorum.VoterSet) state {
	st.Members = slices.DeleteFunc(slices.Clone(st.Members), func(me Member) bool {
		of := func(id quorum.ID) bool { return instanceOf(id) == me.Name }
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

// initialSnapshot is equal on all first voters, so that their logs start from the same
// state.
func (fo Formation) initialSnapshot() wal.Snapshot {
	st := state{Formation: &fo, Members: fo.Members}
	return wal.Snapshot{Index: 1, Term: 1, Voters: quorum.VoterSet{Voters: fo.Voters}, Data: st.encode()}
}

func compareMembers(aa, bb Member) int { return strings.Compare(aa.Name, bb.Name) }

// voterID returns the identity of a voter: the instance's name and its disk ID.
func voterID(name, disk string) quorum.ID {
	return quorum.ID(name + "/" + disk)
}

// instanceOf returns the instance's name in a voter's identity.
func instanceOf(id quorum.ID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}
