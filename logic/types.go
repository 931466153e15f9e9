package logic

// Millis is a time or a duration in milliseconds, fractions allowed.
type Millis float64

type (
	// ExchangeID names one request of a client, as the caller chose it. A client's retry is another exchange.
	ExchangeID string
	// EndpointID names one server, as in the list.
	EndpointID string
	// ZoneID numbers the zones.
	ZoneID int
	// CellID numbers the groups of endpoints within a zone that drop each other's repeats.
	CellID int
	// KindID numbers the kinds of machine, as in the list.
	KindID int
	// ProductID is an index of Terms.Products. Anything outside is an unknown product.
	ProductID int
	// TenantID is an index of Terms.Tenants. Anything outside is no tenant.
	TenantID int
	// LegNo numbers the legs of one exchange from 0.
	LegNo int
	// TimerID names a timer of the module; its caller only hands it back.
	TimerID uint64
	// PeerID is a sidecar's number in its fleet.
	PeerID int
	// KeyID is the hash of the key that an exchange is about; 0 for none.
	KeyID uint64
)

// Effect tells whether an exchange may run more than once. The zero value is the strictest.
type Effect int

const (
	SingleUse    Effect = iota // no leg may follow one that may have run
	Deduplicated               // endpoints of the Group drop repeats
	Retryable                  // a repeat has no further effect
)

// Group is the set of endpoints that drop each other's repeats. The zero value is the narrowest.
type Group int

const (
	OneCell Group = iota
	OneZone
	AllEndpoints
)

// Outcome is how a leg ended. The zero value proves nothing. The numbers go into messages between sidecars.
type Outcome int

const (
	Unknown      Outcome = iota
	Succeeded            // answered
	Errored              // answered with an error
	Full                 // refused by the endpoint, which is full; did not run
	TimedOut             // not answered in its time
	NoConnection         // no connection came up; did not run
	Reset                // the connection broke
	Cancelled            // by Outgoing.Cancel
	NotSent              // the request was not written; did not run
)

// Reason is why an exchange was given up. It is for counters only; nothing is decided by it.
type Reason int

const (
	LegsFailed   Reason = iota // its legs failed or ran out of time, and no further one is affordable or in time
	LossShed                   // shed by admission, by the share of lost legs
	ShedPause                  // came closely behind one that was shed, or its key is blocked or has an overdue leg
	NoEndpoint                 // no endpoint may be sent this product
	QueueFull                  // too many wait for capacity
	QueueTimeout               // waited for capacity too long, or held a buffer that others wait for
)

// Health is the state of an endpoint in the list. The zero value gets no legs.
type Health int

const (
	NotRunning Health = iota
	Running
	Gone // for good: it is forgotten once no leg is out
)

// Product is a kind of exchange and what its users were promised.
type Product struct {
	Effect       Effect
	Group        Group
	DedupMemory  Millis   // how long the group drops repeats
	Expected     Millis   // time within which users expect the answer
	Abandon      Millis   // time after which clients abandon the exchange
	Value        float64  // of an answer within the expected time
	OverdueShare float64  // part of the value that an answer after the expected time has
	RunsIn       []ZoneID // the only zones to which it may be sent; nil for any, empty for none
	AllowedOn    []KindID // the only kinds of machine to which it may be sent; nil for any, empty for none
}

// Bound tells whether the product may be sent to some endpoints only.
func (p *Product) Bound() bool { return p.RunsIn != nil || p.AllowedOn != nil }

// Terms are the settings that an instance is started with.
type Terms struct {
	Seed           uint64 // of the random number generator
	Fleet          int    // number of sidecars
	SidecarNumber  PeerID // of this sidecar in the fleet; below 0 where it is not known
	Peers          bool   // sidecars may send messages to one another
	Zone           ZoneID // of this sidecar
	Products       []Product
	Tenants        []float64 // by tenant: its share of all exchanges
	ByWork         bool      // values are for each unit of work, not for each exchange
	OverShareValue float64   // part of its value that an exchange beyond its tenant's share has
	MaxLegs        int       // of one exchange
	MayHedge       bool      // a second leg may be sent beside one in flight
	MayCancel      bool
	MaxRetryAfter  Millis // longest advice that clients heed; 0 where none may be given
	PullList       bool   // the list comes only when called for
	HasList        bool   // an old list follows at once
	AskWithin      Millis // after which a change of the list counts as notified
	MaxListWait    Millis // between a call for the list that failed and the next; 0 where not bounded
	Notified       NotificationBounds
	DrainGrace     Millis  // for which an endpoint that drains may still be sent to
	TakesOver      bool    // from another process, whose watch ends with it
	SoleCaller     bool    // discovery serves this process alone, as an agent on the same machine does
	ColdPeriod     Millis  // for which an endpoint is cold after its start
	FallWindow     Millis  // over which the work sent to a cold endpoint is measured
	ColdFrom       float64 // part of its capacity that an endpoint has at its start
	FallMultiple   float64 // of the work that a cold endpoint can do in the window; it goes down if sent more
	CrossZonePrice float64 // of a leg to another zone
	TimerTick      Millis  // granularity of timers
	ExtraFree      float64 // legs beyond each exchange's first that may be sent within BudgetWindow in any case
	ExtraRatio     float64 // further such legs for each exchange within BudgetWindow
	BudgetWindow   Millis  // 0 where legs beyond the first are not bounded
	WarmKeys       bool    // endpoints do less work for a key that they served lately
	DeadlineSkew   Millis  // by which abandon times may be off, in either direction
	ReadySkew      Millis  // by which endpoints' start times may be off, in either direction
	AnswerBuffers  int     // answers that can be held for clients that are reading them; 0 where not bounded
	MayProbe       bool    // endpoints may be probed
	ReportsLoad    bool    // a probed endpoint reports its load
	ProbePrice     float64 // points for one probe
	IdleTimeout    Millis  // after which idle connections are closed
}

// Load is an endpoint's report of its load. What it does not report is below 0.
type Load struct {
	Held    float64 // exchanges that it has, those of all sidecars
	Waiting float64 // those of them that wait
	Busy    float64 // share of its CPU in use
}

// Outgoing is what the module calls to act. Calls take effect in order, at once.
type Outgoing interface {
	// Send sends the next leg of an exchange, which ends after timeout at the latest.
	Send(x ExchangeID, to EndpointID, timeout Millis)
	// Cancel ends a leg whose answer is no longer needed.
	Cancel(x ExchangeID, leg LegNo)
	// Shed answers an exchange as refused: a retry is harmless. 0 for retryAfter gives no advice.
	Shed(x ExchangeID, reason Reason, retryAfter Millis)
	// Fail answers an exchange as failed: it may have run.
	Fail(x ExchangeID, reason Reason)
	// SetTimer has TimerFired called with t after a time.
	SetTimer(after Millis, t TimerID)
	// NotifyPeer sends a message to another sidecar, which may be lost. The text is the caller's again afterwards.
	NotifyPeer(to PeerID, text []byte)
	// Watch calls discovery for the list of endpoints and its changes.
	Watch()
	// Probe asks an endpoint for its load. It is answered by one call of Probed.
	Probe(e EndpointID)
	// Note writes a line for the operator.
	Note(line string)
}
