package registry

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"baylock/internal/discovery"
)

// maxHold is the upper limit of the hold time of a watch.
const maxHold = 60 * time.Second

// listRequest is a client's parsed request for a list.
type listRequest struct {
	fromVersion int64         // version of the list that the client has, or discovery.NoVersion
	holdTime    time.Duration // how long the response may wait for a newer version
}

// requestError describes why a request is invalid.
type requestError struct {
	status  int // of the HTTP response
	message string
}

func (e *requestError) Error() string { return e.message }

func badRequest(format string, args ...any) *requestError {
	return &requestError{status: http.StatusBadRequest, message: fmt.Sprintf(format, args...)}
}

// parseRequest validates an HTTP request and parses its query.
func parseRequest(r *http.Request) (listRequest, *requestError) {
	if r.URL.Path != discovery.ListPath {
		return listRequest{}, &requestError{http.StatusNotFound, fmt.Sprintf("unknown path %q", r.URL.Path)}
	}
	if r.Method != http.MethodGet {
		return listRequest{}, &requestError{http.StatusMethodNotAllowed, fmt.Sprintf("method %s, want GET", r.Method)}
	}
	if r.ContentLength != 0 {
		return listRequest{}, badRequest("request must not have a body")
	}
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return listRequest{}, badRequest("%v", err)
	}
	return parseQuery(query)
}

func parseQuery(query url.Values) (listRequest, *requestError) {
	from, hold := query[discovery.FromQuery], query[discovery.HoldQuery]
	if len(from) > 1 || len(hold) > 1 {
		return listRequest{}, badRequest("duplicate parameter %s or %s", discovery.FromQuery, discovery.HoldQuery)
	}
	if len(from) == 0 && len(hold) == 1 {
		return listRequest{}, badRequest("parameter %s requires %s", discovery.HoldQuery, discovery.FromQuery)
	}
	request := listRequest{fromVersion: discovery.NoVersion}
	if len(from) == 1 {
		version, err := strconv.ParseUint(from[0], 10, 63)
		if err != nil {
			return listRequest{}, badRequest("%s: %v", discovery.FromQuery, err)
		}
		request.fromVersion = int64(version)
	}
	if len(hold) == 1 {
		milliseconds, err := strconv.ParseUint(hold[0], 10, 63)
		if err != nil {
			return listRequest{}, badRequest("%s: %v", discovery.HoldQuery, err)
		}
		request.holdTime = time.Duration(min(milliseconds, uint64(maxHold.Milliseconds()))) * time.Millisecond
	}
	return request, nil
}
