package structs

// Worker describes one worker of the platform.
type Worker struct {
	ID          string    `json:"id" yaml:"id"`
	Address     string    `json:"address" yaml:"address"` // IP and port
	DataCentre  string    `json:"data_centre" yaml:"data_centre"`
	Rack        int       `json:"rack" yaml:"rack"` // racks with consecutive numbers are neighbours
	Capacity    Resources `json:"capacity" yaml:"capacity"`
	Connections int       `json:"connections" yaml:"connections"`
	Leaving     bool      `json:"leaving" yaml:"leaving"` // takes no new work
}

// Instance describes one instance of the system, as listed by the platform.
type Instance struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	PeerAddr   string `json:"peer_addr"`
	CallerAddr string `json:"caller_addr"`
	AdminAddr  string `json:"admin_addr"`
	Leaving    bool   `json:"leaving"`
}

// SlotGrant allows an instance to use slots of a worker for short requests of one service until it
// expires. The worker refuses a grant whose Token is lower than the highest token that it has
// received for its data centre.
type SlotGrant struct {
	ID         string `json:"id"`
	Instance   string `json:"instance"`
	Service    string `json:"service"`
	Worker     string `json:"worker"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	Token      uint64 `json:"token"`
	TTLMillis  int64  `json:"ttl_ms"` // counted from the holder's request
}
