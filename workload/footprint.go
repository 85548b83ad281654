package workload

// Memory that an owner needs for a job until it ends, in bytes. BenchmarkBacklog of package jobowner measures it.
const (
	jobFootprint  = 1536
	stepFootprint = 768
	taskFootprint = 136
	// EndedFootprint is what an ended job needs until its retention is over.
	EndedFootprint = 1024
)

// Footprint returns about how much memory an owner needs for the job until it ends, in bytes. Of a scheduled job one
// occurrence counts: further ones are opened only while there is room for them.
func (s *Submission) Footprint() int64 {
	bytes := int64(jobFootprint + len(s.Payload))
	for n := range s.Steps {
		step := &s.Steps[n]
		bytes += stepFootprint + taskFootprint*int64(step.Tasks) + 8*int64(len(step.After))
	}
	return bytes
}
