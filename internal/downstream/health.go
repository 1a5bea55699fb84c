package downstream

import (
	"net/http"

	"baylock/internal/clientconn"
)

const healthPath = "/_health"

// Healthy reports whether new clients are welcome. Where another process has taken over from one that shuts down, either
// may be asked, and the proxy as a whole stays healthy.
func (s *Server) Healthy() bool {
	return s.dispatcher.Ready() && !s.lameDuck.Load() && (!s.draining.Load() || s.takenOver.Load())
}

func (s *Server) serveHealthCheck(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 { // nobody reads the body, so what follows it is no request
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
