package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// closingBody is the body of a response whose connection ends with it.
type closingBody struct {
	io.Reader
	io.Closer
}

// doHTTP10 sends the request as HTTP/1.0 on a connection of its own, and returns the response, whose body may end with the connection.
func doHTTP10(req *http.Request) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp", req.URL.Host, deadline)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	resp, err := exchangeHTTP10(conn, req)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	resp.Body = closingBody{
		Reader: resp.Body,
		Closer: conn,
	}
	return resp, nil
}

// exchangeHTTP10 writes the request and reads the head of the response.
func exchangeHTTP10(conn net.Conn, req *http.Request) (*http.Response, error) {
	if err := conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	out := bufio.NewWriter(conn)
	// Flush returns the error of any write before it.
	_, _ = fmt.Fprintf(out, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", req.Method, req.URL.RequestURI(), req.Host, req.ContentLength)
	_ = req.Header.Write(out)
	_, _ = out.WriteString("\r\n")
	_, _ = io.Copy(out, req.Body)
	if err := out.Flush(); err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	return resp, nil
}
