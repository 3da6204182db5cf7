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
	cookieName  = "cornelwing_session"
	sessionLife = 8 * time.Hour
)

// Sessions gives and checks cookies; any host with the same operators takes them, and no host keeps them.
type Sessions struct {
	operators []setup.Operator
	now       func() time.Time
}

// seal signs the operator's name and the end of the session with the hash of the operator's token.
func (s Sessions) seal(o setup.Operator) string {
	body := fmt.Sprintf("%s.%d", base64.RawURLEncoding.EncodeToString([]byte(o.Name)), s.now().Add(sessionLife).Unix())
	return body + "." + sign(o, body)
}

func sign(o setup.Operator, body string) string {
	mac := hmac.New(sha256.New, []byte(o.KeySHA256))
	// A hash never fails to take bytes.
	_, _ = mac.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// open returns the operator of a cookie that is whole and has not ended.
func (s Sessions) open(value string) (setup.Operator, bool) {
	parts := strings.Split(value, ".")
	if len(parts) != 3 {
		return setup.Operator{}, false
	}
	name, err := base64.RawURLEncoding.DecodeString(parts[0])
	if err != nil {
		return setup.Operator{}, false
	}
	end, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || s.now().Unix() >= end {
		return setup.Operator{}, false
	}
	for _, o := range s.operators {
		if o.Name == string(name) && hmac.Equal([]byte(sign(o, parts[0]+"."+parts[1])), []byte(parts[2])) {
			return o, true
		}
	}
	return setup.Operator{}, false
}

// login sets the cookie for the operator with the token.
func (s Sessions) login(w http.ResponseWriter, token string) bool {
	sum := config.HashKey(token)
	for _, o := range s.operators {
		if o.KeySHA256 != sum {
			continue
		}
		http.SetCookie(w, &http.Cookie{
			Name:     cookieName,
			Value:    s.seal(o),
			Path:     "/",
			HttpOnly: true,
			SameSite: http.SameSiteStrictMode,
			MaxAge:   int(sessionLife.Seconds()),
		})
		return true
	}
	return false
}

func (s Sessions) logout(w http.ResponseWriter) {
	http.SetCookie(w, &http.Cookie{
		Name:     cookieName,
		Path:     "/",
		HttpOnly: true,
		SameSite: http.SameSiteStrictMode,
		MaxAge:   -1,
	})
}

func (s Sessions) of(r *http.Request) (setup.Operator, bool) {
	c, err := r.Cookie(cookieName)
	if err != nil {
		return setup.Operator{}, false
	}
	return s.open(c.Value)
}
