package adverse

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	attemptRequests = 40
	attemptInterval = 100 * time.Millisecond
	// socketSlack is what the pages add to each time limit of the rules on sockets.
	socketSlack = 50 * time.Millisecond
	// leftSlack is the time after the end of a request in which an attempt may still come whole.
	leftSlack = 100 * time.Millisecond
)

// attemptPlan is what one seed plays with attempts that are slow, fail or are reset.
type attemptPlan struct {
	limits      Limits
	settings    Settings
	replacement replacement
	requests    []plannedRequest
}

// plannedRequest is a request and when its client leaves, counted from its last byte; 0 for never.
type plannedRequest struct {
	Request
	leaves time.Duration
}

// milliseconds draws a time.
func milliseconds(r *rand.Rand, from, to int) time.Duration {
	return time.Duration(from+r.IntN(to-from)) * time.Millisecond
}

// drawAttempt draws what becomes of one attempt at a request with a body of the given length.
func drawAttempt(r *rand.Rand, body int) (a Attempt) {
	a.Status = []int{http.StatusOK, http.StatusOK, http.StatusInternalServerError, http.StatusInternalServerError, NotStarted, NoAnswer}[r.IntN(6)]
	if r.IntN(2) == 0 {
		a.ReadFirst = []int{0, 0, body / 2, max(body-4_000, 0)}[r.IntN(4)]
		a.Pause = milliseconds(r, 20, 1500)
		a.Reset = r.IntN(4) == 0
	}
	if r.IntN(5) == 0 {
		a.ReadRate = 100_000 + r.IntN(2_000_000)
	}
	return a
}

// drawAttemptPlan returns the plan of a seed.
func drawAttemptPlan(seed uint64) (p attemptPlan) {
	r := rand.New(rand.NewPCG(seed, 79))
	p.limits = []Limits{{64, 512}, {192, 512}}[r.IntN(2)]
	p.settings = Settings{NoCancel: r.IntN(2) == 0, NoSecondCopies: r.IntN(4) == 0, KeyMemory: milliseconds(r, 250, 900), KeyScope: []string{"all", "zone"}[r.IntN(2)]}
	p.replacement = []replacement{keepProcess, upgradeProcess, upgradeAndKill, restartProcess}[r.IntN(4)]
	for n := range attemptRequests {
		body := []int{300, 12_000, 60_000, 120_000, 250_000, 700_000, 2_000_000}[r.IntN(7)]
		q := plannedRequest{Request: Request{ID: fmt.Sprintf("attempt-%d-%d", seed, n), Class: []string{KeyedClass, KeyedClass, UnsafeClass}[r.IntN(3)],
			Timeout: milliseconds(r, 300, 1900), Body: body, Chunked: r.IntN(4) == 0}}
		for range 1 + r.IntN(3) {
			q.Script.Attempts = append(q.Script.Attempts, drawAttempt(r, body))
		}
		if r.IntN(6) == 0 {
			q.leaves = milliseconds(r, 1, 800)
		}
		p.requests = append(p.requests, q)
	}
	return p
}

// sendPlanned sends a request as planned. endedAt is when its client left or had its answer; zero for neither.
func (w *World) sendPlanned(q plannedRequest) (result Result, endedAt time.Time) {
	if q.leaves == 0 {
		result = w.Send(q.Request)
		return result, result.FirstAt
	}
	result.Request = q.Request
	conn, err := net.Dial("tcp", w.Listen)
	if err != nil {
		return result, time.Time{}
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, q.Text()); err == nil {
		time.Sleep(q.leaves)
	}
	conn.Close()
	return result, time.Now()
}

// plannedResult is what became of a planned request.
type plannedResult struct {
	plannedRequest
	Result  Result
	endedAt time.Time
}

// playAttempts plays a plan and returns what became of its requests.
func (s *soak) playAttempts(p attemptPlan) (results []plannedResult) {
	for range 30 { // hedges need the times of as many answers
		s.world.Send(Request{ID: NewID("warm"), Class: SafeClass, Timeout: time.Second})
	}
	replaced := make(chan error, 1)
	go func() { replaced <- s.replace() }()
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, q := range p.requests {
		if s.mayConnect() {
			all.Go(func() {
				result, endedAt := s.world.sendPlanned(q)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, plannedResult{q, result, endedAt})
			})
		}
		time.Sleep(attemptInterval)
	}
	all.Wait()
	require.NoError(s, <-replaced)
	time.Sleep(2 * time.Second) // the longest pauses of the endpoints end
	return results
}

// judgeAttempts checks the rules.
func (s *soak) judgeAttempts(p attemptPlan, results []plannedResult) {
	runs, served := 0, 0
	for _, r := range results {
		all := s.world.Runs(r.ID)
		runs += len(all)
		if r.Result.Right {
			served++
			assert.NotEmpty(s, all, "%s was served without a run", r.ID)
		}
		s.judgeRuns(p, r, all)
		if p.replacement != upgradeAndKill && r.leaves == 0 {
			assert.False(s, r.Result.Late(), "%s: first byte of the answer after %v, %v", r.ID, r.Result.FirstAt.Sub(r.Result.LastByteAt), r.Result.Err)
		}
		if r.Result.Status == http.StatusServiceUnavailable && (r.Class == UnsafeClass || p.settings.KeyScope != "all") {
			assert.Empty(s, all, "%s was refused, and ran", r.ID)
		}
	}
	s.Logf("%+v, %+v, replacement %d: %d requests, %d runs, %d served", p.limits, p.settings, p.replacement, len(results), runs, served)
	if s.Failed() {
		for _, r := range results {
			s.Logf("%s %s body %d chunked %v timeout %v leaves %v, attempts %+v: %d after %v, runs %v", r.ID, r.Class, r.Body, r.Chunked, r.Timeout, r.leaves,
				r.Script.Attempts, r.Result.Status, r.endedAt.Sub(r.Result.LastByteAt), s.world.Runs(r.ID))
		}
	}
}

// judgeRuns checks when a request ran: once if it may not be repeated, while its key is known otherwise, and not after its end.
func (s *soak) judgeRuns(p attemptPlan, r plannedResult, runs []Run) {
	first := time.Time{}
	for _, run := range runs {
		if first.IsZero() || run.At.Before(first) {
			first = run.At
		}
	}
	for _, run := range runs {
		if r.Class == KeyedClass {
			assert.LessOrEqual(s, run.At.Sub(first), p.settings.KeyMemory+socketSlack, "%s ran a second time when its key was forgotten", r.ID)
		}
		if !r.endedAt.IsZero() {
			assert.LessOrEqual(s, run.At.Sub(r.endedAt), leftSlack, "%s ran after its end", r.ID)
		}
	}
	if r.Class == UnsafeClass {
		assert.LessOrEqual(s, len(runs), 1, "%s runs", r.ID)
	}
}

// TestAttemptSoak plays seeds of slow, failing and reset attempts, before, beside and behind an upgrade or a shutdown. The long run
// is started by hand: go test ./internal/adverse -run TestAttemptSoak -args -seeds 50
func TestAttemptSoak(t *testing.T) {
	for n := range *soakSeeds {
		seed := *soakFrom + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			plan := drawAttemptPlan(seed)
			s := &soak{T: t, plan: soakPlan{limits: plan.limits, replacement: plan.replacement}, world: startWorldWith(t, plan.limits, plan.settings)}
			s.judgeAttempts(plan, s.playAttempts(plan))
		})
	}
}
