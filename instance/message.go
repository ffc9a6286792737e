package instance

import (
	"balsamwinch.example/control"
	"balsamwinch.example/operator"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
)

// The kinds of the messages of this package.
const (
	kindRouted = peer.KindControl + 50 + iota
	kindFormationRequest
	kindFormationReply
	kindNotice
	kindFilesRequest
	kindFilesReply
	kindVotersRequest
	kindVotersReply
)

// routed carries a message of the replicated log between two disks. The
// identities are checked at the receiver: a message for a disk that was lost
// must not reach the one that replaced it.
type routed struct {
	From, To quorum.ID
	Frame    []byte
}

// formationRequest asks a control instance whether the tier was formed, and
// tells it the asker's identity.
type formationRequest struct {
	Name string
	ID   quorum.ID
}

// formationReply is the answer of a control instance.
type formationReply struct {
	ID     quorum.ID
	Formed bool
	Voters quorum.VoterSet
}

// notice tells an instance that a newer revision was committed, so that it
// renews its lease at once.
type notice struct {
	Revision uint64
}

// filesRequest asks the leader for the accepted files.
type filesRequest struct{}

// filesReply gives the accepted files, or the name of the leader to ask.
type filesReply struct {
	OK       bool
	Leader   string
	Revision uint64
	Files    []control.File
}

// votersRequest asks the leader for a change of the voter set.
type votersRequest struct {
	Request operator.VotersRequest
}

// votersReply is the leader's answer.
type votersReply struct {
	OK     bool
	Leader string
	Detail string
	Voters quorum.VoterSet
}

// Kind numbers the message.
func (routed) Kind() peer.Kind { return kindRouted }

// Kind numbers the message.
func (formationRequest) Kind() peer.Kind { return kindFormationRequest }

// Kind numbers the message.
func (formationReply) Kind() peer.Kind { return kindFormationReply }

// Kind numbers the message.
func (notice) Kind() peer.Kind { return kindNotice }

// Kind numbers the message.
func (filesRequest) Kind() peer.Kind { return kindFilesRequest }

// Kind numbers the message.
func (filesReply) Kind() peer.Kind { return kindFilesReply }

// Kind numbers the message.
func (votersRequest) Kind() peer.Kind { return kindVotersRequest }

// Kind numbers the message.
func (votersReply) Kind() peer.Kind { return kindVotersReply }

// messages returns a zero value of each message, for the codec.
func messages() []peer.Message {
	return []peer.Message{
		routed{},
		formationRequest{},
		formationReply{},
		notice{},
		filesRequest{},
		filesReply{},
		votersRequest{},
		votersReply{},
	}
}
