package logic

// Millis is a time or a duration in milliseconds, fractions allowed.
type Millis float64

type (
	ExchangeID string // one try of a client, as its caller named it
	EndpointID string // one server, as the list names it
	ZoneID     int
	CellID     int
	KindID     int // of machine, as the list names it
	ProductID  int // place in Terms.Products; anything outside is an unknown product
	TenantID   int // place in Terms.Tenants; anything outside is no tenant
	LegNo      int // legs of one exchange count from 0
	TimerID    uint64
	PeerID     int    // a sidecar's number in its fleet
	KeyID      uint64 // hash of what an exchange is about; 0 for nothing known
)

// Effect tells whether an exchange may run again. The zero value is the strictest.
type Effect int

const (
	SingleUse Effect = iota
	Deduplicated
	Retryable
)

// Group is the set of endpoints that drop each other's repeats. The zero value is the narrowest.
type Group int

const (
	OneCell Group = iota
	OneZone
	AllEndpoints
)

// Outcome is how a leg ended. The zero value, an unknown one, proves nothing.
type Outcome int

const (
	Unknown Outcome = iota
	Succeeded
	Errored
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	NotSent
)

// Reason is why an exchange was given up. Nothing is decided by it: staff count it.
type Reason int

const (
	LegsFailed   Reason = iota // its legs failed, and no further one is affordable or in time
	LossShed                   // admission, by the share of lost legs
	ShedPause                  // it asked right behind one that was given up
	NoEndpoint                 // no endpoint takes anything
	QueueFull                  // too many wait for room
	QueueTimeout               // it waited for room for too long
)

// Health is what the list says of an endpoint. The zero value gets no work.
type Health int

const (
	NotRunning Health = iota
	Running
	Gone // for good: it is let go once no leg is out
)

// Product is a kind of exchange and what its users were promised.
type Product struct {
	Effect              Effect
	Group               Group
	DedupMemory         Millis // how long the group drops repeats
	Expected            Millis
	Abandon             Millis
	Value, OverdueShare float64  // full value, and the part of it paid after the expected time
	RunsIn              []ZoneID // the only zones, and kinds of machine, to which it may be sent; nil for any, empty for none
	AllowedOn           []KindID
}

// Bound tells that it may be sent to some endpoints only.
func (p *Product) Bound() bool { return p.RunsIn != nil || p.AllowedOn != nil }

// Terms are what an instance is told when it starts.
type Terms struct {
	Seed                    uint64
	Fleet                   int
	SidecarNumber           PeerID // of the Fleet
	Peers                   bool   // sidecars may write to one another
	Zone                    ZoneID
	Products                []Product
	Tenants                 []float64 // share of each
	ByWork                  bool      // values are for each unit of work, not for each exchange
	OverShareValue          float64   // value of what is beyond a share, as a part
	MaxLegs                 int
	MayHedge, MayCancel     bool
	MaxRetryAfter           Millis // that clients heed; 0 where none may be given
	PullList                bool   // the list comes only when asked for
	HasList                 bool   // an old list follows at once
	AskWithin               Millis
	MaxListWait             Millis // between a call for the list that failed and the next; 0 where nothing bounds it
	Notified                NotificationBounds
	DrainGrace              Millis // for which an endpoint that drains may still be sent to
	TakesOver               bool   // of another process, whose watch ends with it
	SoleCaller              bool   // discovery serves this process alone, as an agent beside it does
	ColdPeriod, FallWindow  Millis
	ColdFrom, FallMultiple  float64
	CrossZonePrice          float64
	TimerTick               Millis
	ExtraFree, ExtraRatio   float64 // legs beyond each exchange's first: so many and so many for each exchange taken,
	BudgetWindow            Millis  // within this time; 0 where they are not bounded
	WarmKeys                bool    // endpoints do less work for a key that they met lately
	DeadlineSkew, ReadySkew Millis  // by which abandon times and starts told may be off, in either direction
	AnswerBuffers           int     // answers that can be held for clients which read them; 0 where not bounded
	MayProbe, ReportsLoad   bool    // endpoints may be asked; and tell their load
	ProbePrice              float64
	IdleTimeout             Millis // connections that are idle for so long are closed
}

// Load is what an endpoint says of itself. What it does not tell is below 0.
type Load struct{ Held, Waiting, Busy float64 }

// Outgoing is what the module asks of its surroundings. Calls take effect in order, at once.
type Outgoing interface {
	Send(x ExchangeID, to EndpointID, timeout Millis)
	Cancel(x ExchangeID, leg LegNo)
	Shed(x ExchangeID, reason Reason, retryAfter Millis)
	Fail(x ExchangeID, reason Reason)
	SetTimer(after Millis, t TimerID)
	NotifyPeer(to PeerID, text []byte) // may be lost; text is the caller's again afterwards
	Watch()
	Probe(e EndpointID) // answered by Probed, once
	Note(line string)
}
