package downstream

import (
	"net/http"

	"baylock/internal/clientconn"
)

const healthPath = "/_health"

// Healthy reports whether new clients should use the proxy. After a hand-over, a health check may reach either the
// process that is shutting down or its successor; both report healthy, as the proxy as a whole remains in service.
func (s *Server) Healthy() bool {
	return s.dispatcher.Ready() && !s.lameDuck.Load() && (!s.draining.Load() || s.takenOver.Load())
}

// isHealthCheck reports whether a request is a health check. With any other method, a request for the path of health checks
// is invalid, like one for any path that does not begin with a request class.
func isHealthCheck(r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Path == healthPath
}

func (s *Server) serveHealthCheck(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 { // the body is not read, so the connection cannot carry another request
		w.Header().Set("Connection", "close")
	} else if connection := clientconn.FromContext(r.Context()); connection != nil {
		connection.RequestRead()
	}
	if s.Healthy() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}
