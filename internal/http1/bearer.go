package http1

import (
	"net/http"
	"strings"
)

const (
	authorizationField = "Authorization"
	bearerScheme       = "Bearer"
)

// BearerToken returns the token of the Authorization field of a request, and whether there is such a
// field. The token is all that follows the blank behind the scheme. It is empty if the field has
// another scheme than Bearer or no token, or if there are several fields, which might name different
// callers.
func BearerToken(h http.Header) (token string, presented bool) {
	values := h[authorizationField]
	if len(values) != 1 {
		return "", len(values) > 0
	}
	scheme, token, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return "", true
	}
	return token, true
}
