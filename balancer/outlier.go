package balancer

const (
	minHealth           = 0.05 // an outlier keeps this weight factor, so that some calls still test it
	failureHealthFactor = 0.3  // multiplies the health after a failure caused by the endpoint
	healthGain          = 0.25 // part of lost health a success restores; gain of endpointHealth.errorRate
	outlierErrorRatio   = 2.0  // an endpoint is an outlier above this multiple of the average error rate
	errorRateGain       = 0.05 // gain of the moving averages of the error rates over all endpoints
)

// endpointHealth tracks an endpoint's failures and the weight factor that results from them.
type endpointHealth struct {
	factor    float64 // multiplies the weight; from minHealth to 1
	errorRate float64 // moving average of the fraction of failed calls
}

// record adds a result; failure is 0 or 1. A failure while the endpoint's error rate exceeds threshold is
// attributed to the endpoint: it reduces the health, and record returns true.
func (h *endpointHealth) record(failure, threshold float64) (ownFault bool) {
	h.errorRate += (failure - h.errorRate) * healthGain
	if failure == 0 {
		h.factor += (1 - h.factor) * healthGain
	} else if ownFault = h.errorRate > threshold; ownFault {
		h.factor = max(minHealth, h.factor*failureHealthFactor)
	}
	return ownFault
}

// outlierDetector detects endpoints that fail more often than the others.
type outlierDetector struct {
	errorRate float64 // moving average of the fraction of failed calls, over all endpoints
}

// record updates an endpoint's health and reports whether a failure was caused by the endpoint itself. A
// failure that its peers have as well comes from a deeper tier and counts against the concurrency limits. A
// failed connection is always attributed to the endpoint, even if a complete zone is lost. An error response
// affects the health for its class only, a missing response that for all classes. Rejected does not reduce
// the health: the concurrency limits react to it, and shifting the endpoint's calls to its peers could
// overload them.
func (d *outlierDetector) record(ep *endpoint, class *classState, status Status) (ownFault bool) {
	failure := indicator(status != OK)
	d.errorRate += (failure - d.errorRate) * errorRateGain
	class.errorRate += (failure - class.errorRate) * errorRateGain
	if status == ConnectFailed {
		ownFault = ep.overall.record(failure, 0)
	} else if status != Error && status != Rejected {
		ownFault = ep.overall.record(failure, outlierErrorRatio*d.errorRate)
	}
	if status == Error || status == OK {
		ownFault = ep.classHealth(class).record(failure, outlierErrorRatio*class.errorRate)
	}
	return ownFault
}
