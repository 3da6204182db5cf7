package serve

import (
	"fmt"
	"net/http"
)

// lingerer is a connection that can be told what Close does with bytes that were not sent.
type lingerer interface {
	SetLinger(sec int) error
}

// ResetConn closes the connection of a response with a TCP reset, which the client cannot take for the end of the response. The handler must not use the response afterwards.
func ResetConn(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return fmt.Errorf("take over connection: %w", err)
	}
	if l, ok := conn.(lingerer); ok {
		// A connection that does not linger is closed with a reset.
		if err := l.SetLinger(0); err != nil {
			return fmt.Errorf("disable lingering (close error: %v): %w", conn.Close(), err)
		}
	}
	if err := conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}
