package balancer

// request is a request that has arrived and whose attempts have not all ended.
type request struct {
	Request
	class       *Class // as it was when the request arrived
	classState  *classState
	quota       *tenantQuota // of its tenant; nil without one
	arrivedAt   Microseconds
	queue       *keyQueue // nil if it need not wait for requests with its key
	attempts    []*attempt
	outstanding int  // attempts without outcome
	done        bool // the client waits no longer
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	endpoint       *endpoint
	zone, cell     int          // the endpoint's, as listed at the time of sending
	settings       *Settings    // in force when it was decided on
	class          *Class       // of its request
	decidedAt      Microseconds // when it was decided on
	sentAt         Microseconds // the same, or when the last byte of a streamed request had gone out
	outstanding    bool         // without outcome
	mayRun         bool         // outstanding, or ended without proof that it never ran
	inFlight       bool         // counted by the concurrency limits
	countedSlow    bool         // counted as slow before its end
	reintroduction bool         // the first attempt at an endpoint that operators have attached
}

// mayHaveRun reports whether nothing proves that the attempt never ran.
func (a *attempt) mayHaveRun() bool { return a.mayRun }

// outstandingAttempt returns the attempt of that number, or nil if there is none without outcome.
func (req *request) outstandingAttempt(number int) *attempt {
	if number < 0 || number >= len(req.attempts) || !req.attempts[number].outstanding {
		return nil
	}
	return req.attempts[number]
}

// triedEndpoint reports whether an attempt of the request went to the endpoint.
func (req *request) triedEndpoint(ep *endpoint) bool {
	for _, a := range req.attempts {
		if a.endpoint == ep {
			return true
		}
	}
	return false
}
