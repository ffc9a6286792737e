package instance

import (
	"balsamwinch.example/control"
	"balsamwinch.example/operator"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
)

// Kinds of this package's messages.
const (
	kindRoutedMessage = peer.KindControl + 50 + iota
	kindFormationRequest
	kindFormationReply
	kindRevisionNotice
	kindFilesRequest
	kindFilesReply
	kindVotersRequest
	kindVotersReply
)

// routedMessage carries a message of the replicated log between two disks. The receiver checks
// both identities: a message for a lost disk must not reach its replacement.
type routedMessage struct {
	From, To quorum.ID
	Frame    []byte
}

// formationRequest asks a control instance whether the tier was formed, and gives it the
// sender's identity.
type formationRequest struct {
	Name string
	ID   quorum.ID
}

// formationReply is the reply to a formationRequest.
type formationReply struct {
	ID     quorum.ID
	Formed bool
	Voters quorum.VoterSet
}

// revisionNotice tells an instance that a newer revision was committed, so that it renews its
// lease at once.
type revisionNotice struct {
	Revision uint64
}

// filesRequest asks the leader for the accepted files.
type filesRequest struct{}

// filesReply returns the accepted files, or the name of the leader to ask.
type filesReply struct {
	OK       bool
	Leader   string
	Revision uint64
	Files    []control.File
}

// votersRequest asks the leader to change the voter set.
type votersRequest struct {
	Request operator.VotersRequest
}

// votersReply is the leader's reply, or names the leader to ask.
type votersReply struct {
	OK     bool
	Leader string
	Detail string
	Voters quorum.VoterSet
}

// Kind implements peer.Message.
func (routedMessage) Kind() peer.Kind { return kindRoutedMessage }

// Kind implements peer.Message.
func (formationRequest) Kind() peer.Kind { return kindFormationRequest }

// Kind implements peer.Message.
func (formationReply) Kind() peer.Kind { return kindFormationReply }

// Kind implements peer.Message.
func (revisionNotice) Kind() peer.Kind { return kindRevisionNotice }

// Kind implements peer.Message.
func (filesRequest) Kind() peer.Kind { return kindFilesRequest }

// Kind implements peer.Message.
func (filesReply) Kind() peer.Kind { return kindFilesReply }

// Kind implements peer.Message.
func (votersRequest) Kind() peer.Kind { return kindVotersRequest }

// Kind implements peer.Message.
func (votersReply) Kind() peer.Kind { return kindVotersReply }

// messages returns a zero value of each message, for the codec.
func messages() []peer.Message {
	return []peer.Message{
		routedMessage{},
		formationRequest{},
		formationReply{},
		revisionNotice{},
		filesRequest{},
		filesReply{},
		votersRequest{},
		votersReply{},
	}
}
