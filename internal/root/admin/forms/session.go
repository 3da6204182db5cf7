package forms

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const (
	cookieName      = "cornelwing_session"
	sessionLifetime = 8 * time.Hour
)

// Sessions issues and verifies session cookies. No host stores sessions: every host with the same operators in its settings accepts the cookie.
type Sessions struct {
	operators []setup.Operator
	now       func() time.Time
}

// encode returns a cookie value with the operator's name and the end of the session, signed with the hash of the operator's token.
func (s Sessions) encode(o setup.Operator) string {
	body := fmt.Sprintf("%s.%d", base64.RawURLEncoding.EncodeToString([]byte(o.Name)), s.now().Add(sessionLifetime).Unix())
	return body + "." + sign(o, body)
}

func sign(o setup.Operator, body string) string {
	mac := hmac.New(sha256.New, []byte(o.KeySHA256))
	// Write on a hash never returns an error.
	_, _ = mac.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// verify returns the operator named in the cookie value if the signature is valid and the session has not expired.
func (s Sessions) verify(value string) (setup.Operator, bool) {
	parts := strings.Split(value, ".")
	if len(parts) != 3 {
		return setup.Operator{}, false
	}
	name, err := base64.RawURLEncoding.DecodeString(parts[0])
	if err != nil {
		return setup.Operator{}, false
	}
	expires, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || s.now().Unix() >= expires {
		return setup.Operator{}, false
	}
	for _, o := range s.operators {
		if o.Name == string(name) && hmac.Equal([]byte(sign(o, parts[0]+"."+parts[1])), []byte(parts[2])) {
			return o, true
		}
	}
	return setup.Operator{}, false
}

// login sets the session cookie if the token belongs to an operator, and reports whether it does.
func (s Sessions) login(w http.ResponseWriter, token string) bool {
	sum := config.HashToken(token)
	for _, o := range s.operators {
		if o.KeySHA256 != sum {
			continue
		}
		http.SetCookie(w, &http.Cookie{
			Name:     cookieName,
			Value:    s.encode(o),
			Path:     "/",
			HttpOnly: true,
			SameSite: http.SameSiteStrictMode,
			MaxAge:   int(sessionLifetime.Seconds()),
		})
		return true
	}
	return false
}

// logout deletes the session cookie in the browser.
func (s Sessions) logout(w http.ResponseWriter) {
	http.SetCookie(w, &http.Cookie{
		Name:     cookieName,
		Path:     "/",
		HttpOnly: true,
		SameSite: http.SameSiteStrictMode,
		MaxAge:   -1,
	})
}

// fromRequest returns the operator of the request's session cookie.
func (s Sessions) fromRequest(r *http.Request) (setup.Operator, bool) {
	c, err := r.Cookie(cookieName)
	if err != nil {
		return setup.Operator{}, false
	}
	return s.verify(c.Value)
}
