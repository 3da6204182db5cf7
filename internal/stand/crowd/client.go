package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// trickleInterval is the pause between two bytes of a client that sends slowly.
const trickleInterval = 20 * time.Millisecond

// Client misbehaves on one connection. It returns once the connection is as it stays, or an error if that failed.
type Client func(c net.Conn) error

// Head returns the start of a request, without the empty line that ends its head. Each field is a header line.
func Head(method, target string, fields ...string) string {
	lines := append([]string{method + " " + target + " HTTP/1.1"}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// ShortBody sends a request with a body of size bytes in pieces of the given size, and stops a byte short of its end.
func ShortBody(head string, size, piece int) Client {
	return func(c net.Conn) error {
		return sendAll(c, head+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n", size-1, piece)
	}
}

// ShortChunks sends a request with a body of size bytes in chunks of the given size, and leaves out the last chunk.
func ShortChunks(head string, size, chunk int) Client {
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return fmt.Errorf("send head: %w", err)
		}
		data := []byte(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)))
		for range size / chunk {
			if _, err := c.Write(data); err != nil {
				return fmt.Errorf("send chunk: %w", err)
			}
		}
		return nil
	}
}

// Fields sends a head that is filled up with short fields to the size in bytes. The rest ends it, or is empty.
func Fields(head string, size int, rest string) Client {
	return func(c net.Conn) error {
		var b bytes.Buffer
		b.WriteString(head)
		for i := 0; b.Len() < size; i++ {
			fmt.Fprintf(&b, "%x:1\r\n", i)
		}
		b.WriteString(rest)
		if _, err := c.Write(b.Bytes()); err != nil {
			return fmt.Errorf("send fields: %w", err)
		}
		return nil
	}
}

// Ahead sends the request n times without reading a response.
func Ahead(request string, n int) Client {
	return func(c net.Conn) error {
		for range n {
			if _, err := io.WriteString(c, request); err != nil {
				return fmt.Errorf("send request ahead: %w", err)
			}
		}
		return nil
	}
}

// Text sends the text and nothing more, and reads nothing.
func Text(text string) Client {
	return Ahead(text, 1)
}

// Trickle sends the text byte by byte, with a pause before each, for as long as the connection lasts.
func Trickle(text string) Client {
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, text[:1]); err != nil {
			return fmt.Errorf("send first byte: %w", err)
		}
		go func() {
			for i := 1; i < len(text); i++ {
				time.Sleep(trickleInterval)
				if _, err := io.WriteString(c, text[i:i+1]); err != nil {
					return
				}
			}
		}()
		return nil
	}
}

// HalfClosed sends the text and closes its side of the connection.
func HalfClosed(text string) Client {
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, text); err != nil {
			return fmt.Errorf("send text: %w", err)
		}
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return fmt.Errorf("close for writing: %w", err)
		}
		return nil
	}
}

// sendAll sends the head and then size bytes in pieces.
func sendAll(c net.Conn, head string, size, piece int) error {
	if _, err := io.WriteString(c, head); err != nil {
		return fmt.Errorf("send head: %w", err)
	}
	data := bytes.Repeat([]byte("x"), piece)
	for size > 0 {
		n, err := c.Write(data[:min(size, piece)])
		if err != nil {
			return fmt.Errorf("send body: %w", err)
		}
		size -= n
	}
	return nil
}
