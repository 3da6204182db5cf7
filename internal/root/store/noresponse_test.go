package store

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/plat"
)

// Guards against bytes of a platform in trouble that are no response and count as the outcome of a call (class of MIXED of issue 54).
func TestBytesThatAreNoResponseOfPlatformAreNoOutcome(t *testing.T) {
	responses := []struct {
		name string
		text string
	}{
		{name: "the status 000", text: "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"},
		{name: "a status with a sign", text: "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\n{}"},
		{name: "a blank behind a name", text: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nConnection: close\r\n\r\n{}"},
	}
	for _, r := range responses {
		Convey(fmt.Sprintf("Given a platform whose responses have %s, no call succeeds", r.name), t, func() {
			So(errors.Is(newEndingPlatform(t, r.text).Commit(t.Context(), plat.Txn{}), ErrUnknownOutcome), ShouldBeTrue)
			So(errors.Is(newEndingPlatform(t, r.text).PutObject(t.Context(), "k", []byte("v")), ErrUnknownOutcome), ShouldBeTrue)
			_, err := newEndingPlatform(t, r.text).Object(t.Context(), "k")
			So(errors.Is(err, ErrUnknownOutcome), ShouldBeTrue)
		})
	}
}
