package hollow

// timerEvent tells the loop what to do when a timer fires.
type timerEvent struct {
	kind    timerKind
	token   string   // only with balancerTimer
	request *request // only with requestExpiryTimer
}

type timerKind uint8

const (
	balancerTimer      timerKind = iota // set by the balancer with SetTimer
	requestExpiryTimer                  // expiryGrace has passed since a request's deadline
	nextCallTimer                       // the next generated call is due
)
