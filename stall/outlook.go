package stall

import "time"

// minWait is the rest of a stall from which a server is avoided. A shorter wait costs less
// than the difference between two replicas usually does.
const minWait = 4 * time.Millisecond

// answerMargin is how long after the begin of a stall an answered request must have been
// sent to show that news of the stall is outdated when it arrives. The begin is the send
// time of the first stuck request, which may precede the real one by the time of its work.
const answerMargin = 20 * time.Millisecond

// Outlook is what an entry instance knows of the stalls of one backend server. The zero
// value knows of none.
type Outlook struct {
	began, until time.Duration // the stall of the newest news; none if until is 0
	hasAnswer    bool
	answered     time.Duration // send time of the newest answered request, if there is one
}

// Hear applies news of a stall that arrived now, late by the given time.
func (ou *Outlook) Hear(at, late time.Duration, st Stall) {
	left := min(fromMillis(st.LeftMillis), MaxLength) - late
	if late >= MaxNewsAge || left <= 0 {
		return
	}
	began := at - late - fromMillis(st.AgeMillis)
	if ou.hasAnswer && ou.answered > began+answerMargin {
		return // The stall has ended, or the report was wrong.
	}
	if at < ou.until {
		began = min(began, ou.began)
	}
	ou.began, ou.until = began, max(ou.until, at+left)
}

// Answered records an answer that came now to a request of the given send time. The stall
// of the news has ended if the request was sent after its begin.
func (ou *Outlook) Answered(sent time.Duration) {
	if !ou.hasAnswer || sent > ou.answered {
		ou.hasAnswer, ou.answered = true, sent
	}
	if sent > ou.began {
		ou.until = 0
	}
}

// Until returns when the server will have ended the stall that is known from news. It
// returns false if there is none, or if its rest is too short to matter.
func (ou *Outlook) Until(at time.Duration) (time.Duration, bool) {
	return ou.until, at+minWait < ou.until
}
