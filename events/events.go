// Package events defines the numbered log events. docs/events.md describes them.
package events

import "go.uber.org/zap"

// ID is the number of a log event. The number of a removed event is never reused.
type ID int

// Numbers 1xx are events of the request path, 2xx of owners, 3xx of the configuration, 4xx of
// membership and 5xx of the process.
const (
	RequestRefused         ID = 101
	RequestRouted          ID = 102
	RequestAnswered        ID = 103
	RequestRetried         ID = 104
	AnswerRejected         ID = 105
	WorkerEjected          ID = 106
	WorkerReadmitted       ID = 107
	RequestAbandoned       ID = 108
	ClaimConflict          ID = 109
	ClaimAnswerLost        ID = 110
	SlotsLeased            ID = 111
	JobRouted              ID = 112
	JobAccepted            ID = 201
	PlacementDecided       ID = 202
	JobStarted             ID = 203
	JobStartFailed         ID = 204
	JobPreempted           ID = 205
	JobEnded               ID = 206
	JobAdopted             ID = 207
	JobInDoubt             ID = 208
	JobTransferred         ID = 209
	OwnerElected           ID = 210
	OwnerStoodDown         ID = 211
	WorkerLost             ID = 212
	WorkerRefusedToken     ID = 213
	SlotsGranted           ID = 214
	RecordWriteDelayed     ID = 215
	TransferNotNotified    ID = 216
	RecordAnswerLost       ID = 217
	OrphanStopped          ID = 218
	ManifestInForce        ID = 301
	ManifestCommitted      ID = 302
	ManifestConflict       ID = 303
	ManifestIntent         ID = 304
	LostAnswerResolved     ID = 305
	ManifestStale          ID = 306
	ManifestFresh          ID = 307
	StaleReadIgnored       ID = 308
	PeerJoined             ID = 401
	PeerLost               ID = 402
	ProcessStarted         ID = 501
	ProcessStopping        ID = 502
	ProcessStopped         ID = 503
	StoreUnreachable       ID = 504
	StoreReachable         ID = 505
	ProcessFailed          ID = 506
	SubmissionAnswered     ID = 120
	CancelAnswered         ID = 121
	QueryRefused           ID = 122
	CallRelayed            ID = 123
	JobTakenOver           ID = 220
	JobCancelAccepted      ID = 221
	JobEndRecorded         ID = 222
	RunOrdered             ID = 223
	RunEnded               ID = 224
	RunPreempted           ID = 225
	RunAbsent              ID = 226
	StartRefused           ID = 227
	StartUncertain         ID = 228
	UnexpectedRun          ID = 229
	StepBlocked            ID = 230
	WorkerListed           ID = 231
	WorkerUnlisted         ID = 232
	WorkerAnswered         ID = 233
	WorkerUnresponsive     ID = 234
	WorkerIncarnationEnded ID = 235
	WorkerAvoided          ID = 236
	WorkerLeaseExpired     ID = 237
	TermEnded              ID = 238
	TermStarted            ID = 239
	AdviceReceived         ID = 240
	FillerThrottled        ID = 241
	WorkerListStale        ID = 242
	RoomReclaimed          ID = 243
	StepWaiting            ID = 244
	TermLoaded             ID = 245
	TermNotLoaded          ID = 246
	IntakeStale            ID = 247
	OwnerLags              ID = 248
	RecordRejected         ID = 249
	WaveAccepted           ID = 250
	UpkeepOrdered          ID = 251
	WaveCompleted          ID = 252
	WorkspaceAtCap         ID = 253
	RunTimeObserved        ID = 255
	WorkspaceOverloaded    ID = 254
	RunTimesNotKept        ID = 256
	EntryDisputed          ID = 257
	EntryOfNoService       ID = 258
	OwnerSeen              ID = 420
	OwnershipNotWon        ID = 421
	OwnershipUnconfirmed   ID = 422
	PreviousOwnershipEnded ID = 423
	SettingsReloaded       ID = 510
	LinesDropped           ID = 511
	ConfigInForce          ID = 512
	ConfigUnreadable       ID = 513
	PanicContained         ID = 515
	ConnectionsBounded     ID = 516
	CallerRefused          ID = 517
	ConnectionClosed       ID = 518
	SignalIgnored          ID = 519
	ReadinessChanged       ID = 514
)

// Entry is the catalogue entry of an event. Name is the documented name, which may differ from the
// name of the Go constant.
type Entry struct {
	Name    string
	Message string
}

var catalogue = map[ID]Entry{
	RequestRefused:         {"RequestRefused", "request refused"},
	RequestRouted:          {"RequestRouted", "request routed"},
	RequestAnswered:        {"RequestAnswered", "request answered"},
	RequestRetried:         {"RequestRetried", "request retried on another worker"},
	AnswerRejected:         {"AnswerRejected", "answer rejected"},
	WorkerEjected:          {"WorkerEjected", "worker ejected"},
	WorkerReadmitted:       {"WorkerReadmitted", "worker readmitted"},
	RequestAbandoned:       {"RequestAbandoned", "caller closed the connection"},
	ClaimConflict:          {"ClaimConflict", "claim shard written by another instance"},
	ClaimAnswerLost:        {"ClaimAnswerLost", "outcome of a claim write resolved after a lost response"},
	SlotsLeased:            {"SlotsLeased", "slots leased"},
	JobRouted:              {"JobRouted", "job forwarded to a data centre"},
	JobAccepted:            {"JobAccepted", "job accepted"},
	PlacementDecided:       {"PlacementDecided", "placement decided"},
	JobStarted:             {"JobStarted", "job started"},
	JobStartFailed:         {"JobStartFailed", "job start failed"},
	JobPreempted:           {"JobPreempted", "job preempted"},
	JobEnded:               {"JobEnded", "job ended"},
	JobAdopted:             {"JobAdopted", "running job adopted"},
	JobInDoubt:             {"JobInDoubt", "job of a previous owner taken over; to be confirmed by its workers"},
	JobTransferred:         {"JobTransferred", "job transferred to another data centre"},
	OwnerElected:           {"OwnerElected", "data centre owner elected"},
	OwnerStoodDown:         {"OwnerStoodDown", "data centre owner stood down"},
	WorkerLost:             {"WorkerLost", "worker lost"},
	WorkerRefusedToken:     {"WorkerRefusedToken", "worker refused a stale fencing token"},
	SlotsGranted:           {"SlotsGranted", "slots granted"},
	RecordWriteDelayed:     {"RecordWriteDelayed", "job record write delayed by the store"},
	TransferNotNotified:    {"TransferNotNotified", "owner not notified of a transferred job"},
	RecordAnswerLost:       {"RecordAnswerLost", "outcome of a job record write resolved after a lost response"},
	OrphanStopped:          {"OrphanStopped", "task that belongs to no current attempt stopped"},
	ManifestInForce:        {"ManifestInForce", "manifest in force"},
	ManifestCommitted:      {"ManifestCommitted", "manifest committed"},
	ManifestConflict:       {"ManifestConflict", "manifest commit refused because the expected revision is not in force"},
	ManifestIntent:         {"ManifestIntent", "withdrawal intent recorded"},
	LostAnswerResolved:     {"LostAnswerResolved", "outcome of a manifest commit resolved after a lost response"},
	ManifestStale:          {"ManifestStale", "manifest cannot be confirmed as current"},
	ManifestFresh:          {"ManifestFresh", "manifest confirmed as current again"},
	StaleReadIgnored:       {"StaleReadIgnored", "older manifest revision ignored"},
	PeerJoined:             {"PeerJoined", "peer joined"},
	PeerLost:               {"PeerLost", "peer lost"},
	ProcessStarted:         {"ProcessStarted", "instance started"},
	ProcessStopping:        {"ProcessStopping", "instance stopping"},
	ProcessStopped:         {"ProcessStopped", "instance stopped"},
	StoreUnreachable:       {"StoreUnreachable", "store unreachable"},
	StoreReachable:         {"StoreReachable", "store reachable again"},
	ProcessFailed:          {"ProcessFailed", "instance failed"},
	SubmissionAnswered:     {"SubmissionAnswered", "submission answered"},
	CancelAnswered:         {"CancelAnswered", "cancellation answered"},
	QueryRefused:           {"QueryRefused", "query failed"},
	CallRelayed:            {"CallRelayed", "call forwarded to another instance"},
	JobTakenOver:           {"JobTaken", "job taken over by the owner"},
	JobCancelAccepted:      {"JobCancelTaken", "cancellation accepted by the owner"},
	JobEndRecorded:         {"JobConcluded", "end of the job recorded in the store"},
	RunOrdered:             {"RunOrdered", "run start requested"},
	RunEnded:               {"RunEnded", "run ended"},
	RunPreempted:           {"RunPreempted", "run stopped by a placement decision"},
	RunAbsent:              {"RunAbsent", "run not reported by its worker"},
	StartRefused:           {"StartRefused", "start refused by the worker"},
	StartUncertain:         {"StartUncertain", "outcome of a run start unknown"},
	UnexpectedRun:          {"StrayRun", "unexpected run stopped"},
	StepBlocked:            {"StepBlocked", "step cannot start"},
	WorkerListed:           {"WorkerListed", "worker listed"},
	WorkerUnlisted:         {"WorkerUnlisted", "worker removed from the platform's list"},
	WorkerAnswered:         {"WorkerHeard", "worker responds to this owner"},
	WorkerUnresponsive:     {"WorkerSilent", "worker does not respond"},
	WorkerIncarnationEnded: {"WorkerDropped", "worker incarnation ended"},
	WorkerAvoided:          {"WorkerAvoided", "worker excluded for a time after failures"},
	WorkerLeaseExpired:     {"LeaseLapsed", "lease of a worker has expired"},
	TermEnded:              {"TermOver", "ownership term ended"},
	TermStarted:            {"TermBegan", "ownership term started"},
	AdviceReceived:         {"AdviceTaken", "call to the advice service completed"},
	FillerThrottled:        {"FillerPaced", "new speed limit of a filler requested"},
	WorkerListStale:        {"WorkersStale", "staleness of the worker list changed"},
	RoomReclaimed:          {"RoomReclaimed", "runs stopped to make room for a more urgent step"},
	StepWaiting:            {"StepWaiting", "step could run and has nothing running"},
	TermLoaded:             {"TermLoaded", "jobs loaded at the start of a term"},
	TermNotLoaded:          {"TermNotLoaded", "jobs not loaded since the start of the term"},
	IntakeStale:            {"IntakeStale", "staleness of the accepted jobs changed"},
	OwnerLags:              {"OwnerLags", "owner began or ceased to lag"},
	EntryDisputed:          {"EntryDisputed", "entry describes another incarnation of the worker; its address is asked"},
	EntryOfNoService:       {"EntryOfNoService", "entry names no service of the configuration"},
	RecordRejected:         {"RecordRejected", "job record not accepted by the store"},
	WaveAccepted:           {"WaveTaken", "upkeep wave accepted or withdrawn"},
	UpkeepOrdered:          {"UpkeepOrdered", "upkeep of a machine requested"},
	WaveCompleted:          {"WaveCompleted", "upkeep wave completed"},
	WorkspaceAtCap:         {"WorkspaceAtCap", "workspace began or ceased to wait for its cap"},
	RunTimeObserved:        {"RunTimeObserved", "run time beside its expectation"},
	WorkspaceOverloaded:    {"WorkspaceOverloaded", "workspace began or ceased to be overloaded"},
	RunTimesNotKept:        {"RunTimesNotKept", "summary of run times not read or stored"},
	OwnerSeen:              {"OwnerSeen", "owner changed"},
	OwnershipNotWon:        {"OwnershipTried", "ownership not won"},
	OwnershipUnconfirmed:   {"OwnershipUnconfirmed", "ownership not confirmed by the store"},
	PreviousOwnershipEnded: {"OwnershipLeftBehind", "ownership of a previous process ended"},
	SettingsReloaded:       {"SettingsReloaded", "settings file read again"},
	LinesDropped:           {"LinesDropped", "log lines dropped"},
	ConfigInForce:          {"ConfigInForce", "configuration in force"},
	ConfigUnreadable:       {"ConfigUnreadable", "configuration or upkeep wave cannot be decoded"},
	ConnectionsBounded:     {"ConnectionsBounded", "limit of connections to workers reached"},
	CallerRefused:          {"CallerRefused", "requests refused because resources are short or their bodies did not arrive"},
	ConnectionClosed:       {"ConnectionClosed", "connections closed to free resources"},
	SignalIgnored:          {"SignalIgnored", "signal has no effect"},
	PanicContained:         {"PanicContained", "panic recovered"},
	ReadinessChanged:       {"ReadinessChanged", "readiness changed"},
}

// Catalogue returns all events by number.
func Catalogue() map[ID]Entry {
	c := make(map[ID]Entry, len(catalogue))
	for id, e := range catalogue {
		c[id] = e
	}
	return c
}

// Message returns the log message of event id, for callers that check the log level themselves.
func Message(id ID) string { return catalogue[id].Message }

// Field returns the log field with the number of event id.
func Field(id ID) zap.Field { return zap.Int("event", int(id)) }

// Info logs event id at level info.
func Info(log *zap.Logger, id ID, fields ...zap.Field) {
	if ce := log.Check(zap.InfoLevel, catalogue[id].Message); ce != nil {
		ce.Write(append(fields, zap.Int("event", int(id)))...)
	}
}

// Warn logs event id at level warn.
func Warn(log *zap.Logger, id ID, fields ...zap.Field) {
	if ce := log.Check(zap.WarnLevel, catalogue[id].Message); ce != nil {
		ce.Write(append(fields, zap.Int("event", int(id)))...)
	}
}
