package balancer

// request is a client request, kept from its arrival until it is done and all its attempts have ended.
type request struct {
	Request
	class       *Class // with its settings at the arrival of the request
	classState  *classState
	quota       *tenantQuota // of its tenant; nil if the tenant is unknown
	arrivedAt   Microseconds // or the end of the upload of a streamed request
	queue       *keyQueue    // nil if the request is not ordered by key
	attempts    []*attempt
	outstanding int  // number of attempts without an outcome
	done        bool // answered or cancelled, or its response has started
}

// attempt is one transmission of a request to an endpoint.
type attempt struct {
	endpoint        *endpoint
	zone, cell      int          // those of the endpoint when the attempt was sent
	settings        *Settings    // in force when the attempt was decided on
	class           *Class       // same as request.class
	decidedAt       Microseconds // when the balancer decided on the attempt
	sentAt          Microseconds // decidedAt, or the end of the upload of a streamed request
	outstanding     bool         // has no outcome yet
	possiblyRan     bool         // outstanding, or ended without proof that it never ran
	countedInFlight bool         // counted by the concurrency limits; not reset when the attempt ends
	countedSlow     bool         // counted as slow while it was outstanding
	reintroduction  bool         // first attempt at an endpoint that operators have attached
}

// mayHaveRun reports whether the attempt may have run, that is, whether nothing proves that it never did.
func (a *attempt) mayHaveRun() bool { return a.possiblyRan }

// outstandingAttempt returns the attempt with the given number, or nil if no such attempt is outstanding.
func (req *request) outstandingAttempt(number int) *attempt {
	if number < 0 || number >= len(req.attempts) || !req.attempts[number].outstanding {
		return nil
	}
	return req.attempts[number]
}

// triedEndpoint reports whether any attempt of the request was sent to the endpoint.
func (req *request) triedEndpoint(ep *endpoint) bool {
	for _, a := range req.attempts {
		if a.endpoint == ep {
			return true
		}
	}
	return false
}
