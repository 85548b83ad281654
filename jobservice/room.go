package jobservice

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/relay"
)

const (
	// maxRoomAge is how long an instance accepts jobs on an answer of the owner. Other instances use up the room meanwhile.
	maxRoomAge = 5 * time.Second
	// minRoomAge is the age of a refusal of room from which the owner is asked again.
	minRoomAge = 50 * time.Millisecond
	// roomRetryDelay is the time after a call without an answer before the owner is asked for room again.
	roomRetryDelay = 500 * time.Millisecond
	// unansweredShare is the part of the memory for accepted jobs that all instances together may use while the owner does
	// not answer, and minUnanswered what each may use at least, in bytes.
	unansweredShare = 0.125
	minUnanswered   = 256 << 10
)

// roomGrant is the room for jobs at the owner that this instance may use, in bytes. The owner gives each instance a part of
// what is left, so that all together do not accept more than it can hold.
type roomGrant struct {
	suspended func() time.Duration

	mu         sync.Mutex
	token      uint64 // of the owner that granted it
	asOf       suspend.Stamp
	granted    int64
	left       int64
	refused    int64 // footprint for which the last answer granted too little; 0 if it granted enough
	unanswered int64 // used without an answer since the last one
	failedAt   time.Time
	asking     bool // in the background
}

// BacklogFull reports whether there is no room for a job of the footprint, in bytes, beside the accepted ones. Small jobs are
// accepted without an answer of the owner, up to a limit.
func (s *Service) BacklogFull(ctx context.Context, footprint int64) bool {
	if s.opts.MaxBacklog == 0 {
		return false
	}
	if term := s.opts.Term(); term != nil {
		if room, ok := term.Room(); ok {
			return footprint > room
		}
	}
	if s.room.use(footprint, s.ownerToken()) {
		s.refreshRoom()
		return false
	}
	if !s.room.answered(s.ownerToken()) && s.room.useUnanswered(footprint, s.unansweredLimit()/4) {
		s.refreshRoom() // most jobs do not wait for an answer
		return false
	}
	if s.room.tooSmallFor(footprint, s.ownerToken()) {
		return true
	}
	if s.askRoom(ctx, footprint) && s.room.use(footprint, s.ownerToken()) {
		return false
	}
	return s.room.answered(s.ownerToken()) || !s.room.useUnanswered(footprint, s.unansweredLimit())
}

// unansweredLimit returns how much this instance may accept without an answer of the owner, in bytes.
func (s *Service) unansweredLimit() int64 {
	instances := int64(len(s.opts.Elector.Peers()) + 1)
	return max(minUnanswered, int64(unansweredShare*float64(s.opts.MaxBacklog))/instances)
}

func (s *Service) ownerToken() uint64 {
	owner, ok := s.opts.Elector.Owner()
	if !ok {
		return 0
	}
	return owner.Token
}

// refreshRoom asks the owner in the background if more than half of the grant is used or it is old.
func (s *Service) refreshRoom() {
	if !s.room.beginRefresh(s.ownerToken()) {
		return
	}
	go func() {
		defer s.room.endRefresh()
		s.askRoom(context.Background(), 0)
	}()
}

// askRoom asks the owner for room for a job of the footprint, and reports whether it has answered.
func (s *Service) askRoom(ctx context.Context, footprint int64) bool {
	owner, ok := s.opts.Elector.Owner()
	if !ok || owner.Name == s.opts.Instance || !s.room.mayAsk() {
		return false
	}
	asked := s.stamp()
	ctx, cancel := context.WithTimeout(ctx, admissionTimeout)
	defer cancel()
	reply, err := s.opts.PeerClient(owner.Address).Admission(ctx, &relay.AdmissionRequest{Bytes: footprint})
	if err != nil || !reply.RoomKnown || reply.Token != owner.Token {
		s.overloadCache.unanswered.Inc(1)
		s.opts.Log.Debug("the owner did not say how much room there is for jobs", zap.Uint64("token", owner.Token), zap.Error(err))
		s.room.failed()
		return false
	}
	s.room.set(owner.Token, reply.Room, footprint, asked)
	return true
}

// roomFor returns the room that an instance which wants to accept a job of the footprint is granted: its part of half of the
// room, or that of the job if it takes at most half of the room.
func roomFor(room, footprint int64, instances int) int64 {
	grant := room / int64(2*instances)
	if footprint <= room/2 {
		grant = max(grant, footprint)
	}
	return grant
}

// valid reports whether the grant is of the owner with the token and not too old. The caller holds the lock.
func (g *roomGrant) valid(token uint64) bool {
	return token != 0 && g.token == token && g.asOf.Age(time.Now(), g.suspended()) <= maxRoomAge
}

// use takes the footprint from a grant of the owner with the token, and reports whether there was enough.
func (g *roomGrant) use(footprint int64, token uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.valid(token) || g.left < footprint {
		return false
	}
	g.left -= footprint
	return true
}

// useUnanswered takes the footprint from what may be used without an answer, up to limit.
func (g *roomGrant) useUnanswered(footprint, limit int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unanswered+footprint > limit {
		return false
	}
	g.unanswered += footprint
	return true
}

// answered reports whether the owner with the token has answered lately.
func (g *roomGrant) answered(token uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.valid(token)
}

// tooSmallFor reports whether the owner has just refused room for a job that was not larger.
func (g *roomGrant) tooSmallFor(footprint int64, token uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused > 0 && footprint >= g.refused && g.valid(token) && g.asOf.Age(time.Now(), g.suspended()) <= minRoomAge
}

// set stores the room that the owner has granted when it was asked for a job of the footprint; 0 for none.
func (g *roomGrant) set(token uint64, room, footprint int64, asked suspend.Stamp) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.token, g.granted, g.left, g.asOf, g.unanswered, g.refused = token, room, room, asked, 0, 0
	if room < footprint {
		g.refused = footprint
	}
}

func (g *roomGrant) failed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failedAt = time.Now()
}

func (g *roomGrant) mayAsk() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.failedAt) >= roomRetryDelay
}

func (g *roomGrant) beginRefresh(token uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.asking || g.valid(token) && 2*g.left > g.granted || time.Since(g.failedAt) < roomRetryDelay {
		return false
	}
	g.asking = true
	return true
}

func (g *roomGrant) endRefresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asking = false
}
