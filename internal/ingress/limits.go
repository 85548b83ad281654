// Package ingress bounds what the clients of a listener can hold: connections, bytes of requests that are not answered
// yet, and the memory of calls in progress. When one of them is short, the holder that is least likely to be served is
// closed or refused. docs/design/ingress.md describes the bounds.
package ingress

import (
	"fmt"
	"time"
)

// Limits are the bounds of one listener.
type Limits struct {
	// Connections is the largest number of open connections. An eighth of them is a reserve: connections are closed to
	// keep it free, so that new ones are accepted without delay.
	Connections int
	// Bytes bounds the bodies that were received and not answered. 0 for no bound.
	Bytes int64
	// CallBytes bounds the memory of the calls that have been received completely: decoding, the write to the store and
	// the copy for a peer. 0 for no bound.
	CallBytes int64
	// BodyTime is the longest time for a body, for callers whose own deadline is longer.
	BodyTime time.Duration
	// IdleTimeout is the longest time without a byte on a connection; 0 if the server has its own time-outs, which it
	// would replace.
	IdleTimeout time.Duration
	// SocketBuffer is the size of the receive and of the send buffer in the system; 0 for that of the system, which lets
	// a connection between regions use the link.
	SocketBuffer int
	// WriteTimeout is the longest time without progress of a write.
	WriteTimeout time.Duration
	// EvictAfter is the time without progress before which a connection with a request is not closed for others.
	EvictAfter time.Duration
	// KeepIdle is the time for which an idle connection is not closed for others.
	KeepIdle time.Duration
	// ByteWait is how long a read waits for other requests to end while Bytes are used, before connections are closed.
	ByteWait time.Duration
	// CountReads makes the bytes that are read count against Bytes until the next write. It is for protocols whose
	// messages are read by a library.
	CountReads bool
}

const (
	mb = 1 << 20
	// defaultMemory and defaultFDs apply if the settings have no limits.
	defaultMemory = 512 * mb
	defaultFDs    = 8192
	// connectionBytes is the memory that counts for a connection: two goroutines, two buffers and a header take 24 KB, and
	// the receive buffer of the system takes up to twice socketBuffer.
	connectionBytes = 24<<10 + 2*socketBuffer
	// socketBuffer is the size of a caller's receive and send buffer in the system, which allots twice as much. It takes
	// 262,144 bytes in 0.4 s at a round trip of 50 ms.
	socketBuffer = 32 << 10
	// Shares of the memory: connections, bodies, calls, relayed messages.
	connectionsShare, bodiesShare, callsShare, peersShare = 0.25, 0.125, 0.15, 0.0625
	// callersFDShare and peersFDShare are the parts of the descriptors for callers and for peers' connections.
	callersFDShare, peersFDShare = 8, 6
	// MaxInstances is the largest number of instances, and PeerCalls limits the calls in progress from one instance to
	// another, each of which has a connection. Both hold at 4,100 descriptors, of which workers need 2,520.
	MaxInstances, PeerCalls = 40, 16
	// peerConnections has room for a further connection of each instance, which is being opened or closed.
	peerConnections = MaxInstances * (PeerCalls + 1)
	// fileFDs and clientFDs are the descriptors for files and for connections to the store and to other instances, and the
	// shares limit them if there are few descriptors.
	fileFDs, fileFDShare     = 200, 20
	clientFDs, clientFDShare = 150, 27
	// minWorkerConnections applies if the limit of descriptors is very low.
	minWorkerConnections = 32
	// workersFDShare and maxMemoryShare bound what settings may take: a quarter of the descriptors is left for workers, and
	// a quarter of the memory for the rest of the process.
	workersFDShare, maxMemoryShare = 4, 0.75
	// minConnections applies if the limits of the settings are very low.
	minConnections = 32
	// probeConnections is the limit of the listeners for readiness and metrics.
	probeConnections = 16
	defaultBodyTime  = 60 * time.Second
	writeTimeout     = 5 * time.Second
	// peerIdleTimeout is longer than the time after which either side closes an unused connection.
	peerIdleTimeout = 90 * time.Second
	// peerEvictAfter is longer than a call between instances takes.
	peerEvictAfter = 15 * time.Second
	// peerKeepIdle is the time for which the client of the peers keeps an unused connection. Until then it may send a call
	// on it.
	peerKeepIdle = 30 * time.Second
	// peerByteWait is longer than the usual deadline of a caller, 3 s, so that a message is cut off only when its caller no
	// longer waits.
	peerByteWait = 5 * time.Second
)

// Settings are the limits of the process and the values that replace defaults; 0 for the default.
type Settings struct {
	MemoryMB, MaxFDs int
	Connections      int   // of callers
	BodiesMB         int   // bytes of bodies
	CallsMB          int   // memory of calls
	BodyTimeMs       int64 // longest time for a body
}

func (s Settings) memory() float64 {
	if s.MemoryMB <= 0 {
		return defaultMemory
	}
	return float64(s.MemoryMB) * mb
}

func (s Settings) fds() int {
	if s.MaxFDs <= 0 {
		return defaultFDs
	}
	return s.MaxFDs
}

// Callers returns the limits of the listener for callers.
func (s Settings) Callers() Limits {
	memory := s.memory()
	l := Limits{
		Connections: max(minConnections, min(int(connectionsShare*memory)/connectionBytes, s.fds()/callersFDShare)),
		Bytes:       int64(bodiesShare * memory), CallBytes: int64(callsShare * memory),
		BodyTime: defaultBodyTime, WriteTimeout: writeTimeout, SocketBuffer: socketBuffer,
	}
	if s.Connections > 0 {
		l.Connections = s.Connections
	}
	if s.BodiesMB > 0 {
		l.Bytes = int64(s.BodiesMB) * mb
	}
	if s.CallsMB > 0 {
		l.CallBytes = int64(s.CallsMB) * mb
	}
	if s.BodyTimeMs > 0 {
		l.BodyTime = time.Duration(s.BodyTimeMs) * time.Millisecond
	}
	return l
}

// Peers returns the limits of the listener for other instances.
func (s Settings) Peers() Limits {
	return Limits{Connections: max(minConnections, min(peerConnections, s.fds()/peersFDShare)), Bytes: int64(peersShare * s.memory()), CountReads: true,
		ByteWait: peerByteWait, IdleTimeout: peerIdleTimeout, WriteTimeout: writeTimeout, EvictAfter: peerEvictAfter, KeepIdle: peerKeepIdle}
}

// Probes returns the limits of the listeners for readiness and metrics.
func (s Settings) Probes() Limits {
	return Limits{Connections: probeConnections, BodyTime: defaultBodyTime, WriteTimeout: writeTimeout, SocketBuffer: socketBuffer}
}

// WorkerConnections returns how many connections to workers may be open, so that all limits together stay within MaxFDs.
func (s Settings) WorkerConnections() int { return max(minWorkerConnections, s.workerFDs()) }

// workerFDs returns the descriptors that remain for workers.
func (s Settings) workerFDs() int {
	rest := min(fileFDs, s.fds()/fileFDShare) + min(clientFDs, s.fds()/clientFDShare) + 2*probeConnections
	return s.fds() - rest - s.Callers().Connections - s.Peers().Connections
}

// Check returns an error if values that replace defaults exceed the process.
func (s Settings) Check() error {
	if s.Connections > 0 && s.workerFDs() < s.fds()/workersFDShare {
		return fmt.Errorf("MaxConnections: %d of %d descriptors leave %d for workers; must leave at least %d",
			s.Connections, s.fds(), s.workerFDs(), s.fds()/workersFDShare)
	}
	if s.Connections == 0 && s.BodiesMB == 0 && s.CallsMB == 0 {
		return nil
	}
	c := s.Callers()
	total := int64(c.Connections)*connectionBytes + c.Bytes + c.CallBytes + s.Peers().Bytes
	if limit := int64(maxMemoryShare * s.memory()); total > limit {
		return fmt.Errorf("MaxConnections at 88 KB, BodiesMb, CallsMb and messages of instances take %d MB; must take at most %d of MemoryMb",
			total/mb, limit/mb)
	}
	return nil
}
