package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// Each client sends bodies of uploadBytes, which the limits allow, and pauses shortly
	// before the end of each for at least pauseMin and at most pauseMax.
	uploadClients = 1200
	uploadBytes   = 70 << 10
	uploadRest    = 64
	pauseMin      = 450 * time.Millisecond
	pauseMax      = 650 * time.Millisecond
	uploadsRun    = 30 * time.Second
	// uploadGap is the time between two requests of a client.
	uploadGap = 50 * time.Millisecond
)

// upload is one attempt and what its client got.
type upload struct {
	at, answeredAt time.Time
	attempt        string
	status         int
	signature      string
	length         int // of the body
}

// evictedUploads lets many clients send bodies slowly, so that the memory for them is short.
// Rule MIXED: a client gets no success without the server's signature and its whole body.
func evictedUploads(w *world) bool {
	w.configure("desk", 1)
	for i := range 2 {
		w.addServer(&server{id: fmt.Sprintf("i-%d", i+1), service: "desk", work: 2 * time.Millisecond, slots: 300})
	}
	w.instances = startInstances(w.dir, w.storeAddr)
	end := time.Now().Add(uploadsRun)
	var clients sync.WaitGroup
	var mu sync.Mutex
	byStatus, unread := map[int]int{}, 0
	var wrong []upload
	for i := range uploadClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			c := &client{address: w.instances[0].front}
			defer c.close()
			for time.Now().Before(end) {
				u, ok := c.upload(w.trouble)
				mu.Lock()
				byStatus[u.status]++
				switch {
				case !ok:
					unread++
				case u.status/100 == 2 && (u.signature == "" || u.length != len("done ")):
					wrong = append(wrong, u)
				}
				mu.Unlock()
				time.Sleep(uploadGap)
			}
		})
	}
	clients.Wait()
	ran := map[string]*arrival{}
	w.records.mu.Lock()
	for _, a := range w.records.arrivals {
		if a.ran {
			ran[a.attempt] = a
		}
	}
	w.records.mu.Unlock()
	for _, u := range wrong[:min(len(wrong), 60)] { // the first ones
		reached := "no server has got it"
		if a := ran[u.attempt]; a != nil {
			reached = "server " + a.server + " has run it"
		}
		w.note("%s  attempt %s gets %d, signature %q, body of %d bytes; %s", w.since(u.answeredAt), u.attempt, u.status, u.signature, u.length, reached)
	}
	mb, ended := w.instances[0].memory()
	lost := 0
	for _, u := range wrong {
		if ran[u.attempt] == nil {
			lost++
		}
	}
	w.note("attempts by status (0: no complete answer): %v, of them without a complete answer: %d; instance: %d MB, ended by itself: %v", byStatus, unread, mb, ended)
	w.note("successes that no server has given: %d, of requests that reached no server: %d", len(wrong), lost)
	return len(wrong) > 0
}

// upload sends one request, with a pause before the end of its body if slow is set. ok is false
// if there was no complete answer.
func (c *client) upload(slow bool) (u upload, ok bool) {
	u = upload{at: time.Now(), attempt: newAttemptID()}
	defer func() {
		u.answeredAt = time.Now()
		if !ok {
			c.close()
		}
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, 2*time.Second)
		if err != nil {
			return u, false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	const deadline = 3 * time.Second
	head := fmt.Sprintf("POST /desk/files HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\nContent-Length: %d\r\n\r\n",
		host, u.attempt, deadline.Milliseconds(), apiKey, uploadBytes)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	body := bytes.Repeat([]byte("x"), uploadBytes)
	if _, err := c.conn.Write(append([]byte(head), body[:uploadBytes-uploadRest]...)); err != nil {
		return u, false
	}
	if slow {
		time.Sleep(pauseMin + rand.N(pauseMax-pauseMin))
	}
	_, _ = c.conn.Write(body[uploadBytes-uploadRest:]) // it may have been refused already
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return u, false
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return u, false
	}
	u.status, u.signature, u.length = resp.StatusCode, resp.Header.Get("X-Server-Signature"), len(raw)
	if resp.Close {
		c.close()
	}
	return u, true
}
