package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// clientConn is a client's open connection to an entry.
type clientConn struct {
	d      *deployment
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

func (d *deployment) dial(p *process, name string) (*clientConn, error) {
	conn, err := net.Dial("tcp", addr(p.ip, d.front))
	if err != nil {
		return nil, err
	}
	d.rec.add("client", name, "connected to", p.name)
	return &clientConn{d: d, name: name, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// exchange sends a request without a body and reads the answer.
func (c *clientConn) exchange(method, path string) (status int, err error) {
	c.d.rec.add("client", c.name, "sent", method, path)
	if _, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 3000\r\n\r\n", method, path, host); err != nil {
		c.d.rec.add("client", c.name, "send failed", err.Error())
		return 0, err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.d.rec.add("client", c.name, "connection ended without an answer", err.Error())
		return 0, err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.d.rec.add("client", c.name, "connection ended within the answer", err.Error())
		return 0, err
	}
	c.d.rec.add("client", c.name, "answer", resp.StatusCode, strings.TrimSpace(string(body)))
	return resp.StatusCode, nil
}

const lossSlack = 200 * time.Millisecond

// drainScene removes an entry for good, after SIGTERM, and later stops another one with
// SIGTERM. Clients use their open connections to it until it is gone, to cancel jobs that
// have ended.
func drainScene(rec *record, trouble bool) (int, string) {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return couldNot, err.Error()
	}
	defer d.stopAll()
	if err := d.startAll(); err != nil {
		return couldNot, err.Error()
	}
	removed, stopped := d.entries[2], d.entries[0]
	d.signal(removed, syscall.SIGTERM)
	<-removed.done
	// Nothing is disturbed for longer than contact_ms.
	time.Sleep(6 * time.Second)
	if status, _ := d.post(stopped, "00000000decade00", "20", 1, 20, 1500); status != http.StatusOK {
		return couldNot, "the entry does not serve"
	}
	var conns []*clientConn
	for i := range 4 {
		c, err := d.dial(stopped, fmt.Sprintf("connection-%d", i+1))
		if err != nil {
			return couldNot, err.Error()
		}
		if status, err := c.exchange(http.MethodGet, prefix); err != nil || status != http.StatusOK {
			return couldNot, "the entry does not answer"
		}
		conns = append(conns, c)
	}
	began := time.Now()
	if trouble {
		d.signal(stopped, syscall.SIGTERM)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut, answered := 0, 0
	for i, c := range conns {
		wg.Go(func() {
			// The entry closes idle connections 2.8 s after the signal.
			time.Sleep(time.Until(began.Add(2740*time.Millisecond + time.Duration(i)*10*time.Millisecond)))
			sent := rec.now()
			_, err := c.exchange(http.MethodDelete, prefix+"00000000decade00")
			mu.Lock()
			defer mu.Unlock()
			took := rec.now() - sent
			switch {
			case err == nil:
				answered++
			case took > lossSlack && !errors.Is(err, os.ErrDeadlineExceeded):
				cut++
				rec.add("judge", "LOST", c.name, "ended without an answer", took.Milliseconds(), "ms after the request was sent")
			}
		})
	}
	wg.Wait()
	if cut > 0 {
		return broken, fmt.Sprintf("LOST: %d of %d requests were cut without an answer by the SIGTERM of their entry", cut, len(conns))
	}
	if answered == 0 {
		return couldNot, "no request was answered or cut"
	}
	return held, fmt.Sprintf("%d of %d requests were answered", answered, len(conns))
}
