// Package link estimates how long what this process sends waits for the link of its machine. A call that passes its
// timeout meanwhile says little about the party that was called.
package link

import (
	"sync"
	"time"
)

const (
	// packetBytes is what a packet carries, and packetOverhead is what it takes of the link besides that.
	packetBytes    = 1400
	packetOverhead = 66
	// tolerance is the queue up to which the link counts as free.
	tolerance = 10 * time.Millisecond
)

// Meter estimates the queue of a link from what was sent over it. A nil Meter stands for a link of unknown speed, on
// which nothing waits.
type Meter struct {
	bytesPerSecond float64

	mu      sync.Mutex
	emptyAt time.Time // when all bytes so far have been sent
}

// New returns a meter of a link with the speed in megabits per second, or nil if it is not positive.
func New(mbps float64) *Meter {
	if mbps <= 0 {
		return nil
	}
	return &Meter{bytesPerSecond: mbps * 1e6 / 8}
}

// Sent adds bytes that the process hands over to the network.
func (m *Meter) Sent(bytes int) {
	if m == nil {
		return
	}
	took := m.TimeOf(bytes)
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); m.emptyAt.Before(now) {
		m.emptyAt = now
	}
	m.emptyAt = m.emptyAt.Add(took)
}

// TimeOf returns how long the link takes for a message of the size.
func (m *Meter) TimeOf(bytes int) time.Duration {
	if m == nil {
		return 0
	}
	total := bytes + packetOverhead*(1+bytes/packetBytes)
	return time.Duration(float64(total) / m.bytesPerSecond * float64(time.Second))
}

// BytesIn returns how many bytes the link sends in d, at most limit.
func (m *Meter) BytesIn(d time.Duration, limit int) int {
	if m == nil {
		return limit
	}
	return int(min(m.bytesPerSecond*d.Seconds(), float64(limit)))
}

// Queue returns how long what is sent now waits before it is on the link. It is 0 up to the tolerance.
func (m *Meter) Queue() time.Duration {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	queue := time.Until(m.emptyAt)
	if queue <= tolerance {
		return 0
	}
	return queue
}
