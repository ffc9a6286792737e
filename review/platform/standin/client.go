package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is one request of a client and what became of it.
type attempt struct {
	id       string
	front    *node
	sentAt   time.Time
	endedAt  time.Time
	status   int    // 0 without a complete answer
	stamp    string // signature in the answer
	failure  string // why there is no complete answer
	refused  bool   // whether no connection could be opened
	complete bool
}

func (wo *world) newID() string {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.nextID++
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, wo.nextID)
}

// post sends one request on a new connection and waits for the answer until the client's
// deadline.
func (wo *world) post(front *node, work time.Duration) attempt {
	at := attempt{id: wo.newID(), front: front, sentAt: time.Now()}
	wo.rc.add("client sends %s to %s (work %d ms)", at.id, front.name, work.Milliseconds())
	at.exchange(work)
	at.endedAt = time.Now()
	if at.complete {
		wo.rc.add("client gets %d for %s, signature %q", at.status, at.id, at.stamp)
	} else {
		wo.rc.add("client gets no complete answer for %s: %s", at.id, at.failure)
	}
	return at
}

func (at *attempt) exchange(work time.Duration) {
	nc, err := net.DialTimeout("tcp4", at.front.address(portFrontend), time.Second)
	if err != nil {
		at.refused, at.failure = true, err.Error()
		return
	}
	defer nc.Close()
	_ = nc.SetDeadline(at.sentAt.Add(clientDeadline))
	body := "hoja=" + at.id
	head := []string{
		"POST " + pathPrefix + at.id + " HTTP/1.1", "Host: " + hostName,
		headerRequestID + ": " + at.id, fmt.Sprintf("%s: %d", headerDeadline, clientDeadline.Milliseconds()),
		fmt.Sprintf("%s: %d", headerWork, work.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(body)),
	}
	if _, err := io.WriteString(nc, strings.Join(head, "\r\n")+"\r\n\r\n"+body); err != nil {
		at.failure = err.Error()
		return
	}
	rs, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		at.failure = err.Error()
		return
	}
	defer rs.Body.Close()
	if _, err := io.ReadAll(rs.Body); err != nil {
		at.failure = err.Error()
		return
	}
	at.complete, at.status, at.stamp = true, rs.StatusCode, rs.Header.Get(headerStamp)
}
