package runtimes

import "math"

const (
	// keep is the factor by which the weight of earlier jobs falls with each ended job: about the last 33 count. A
	// route that changes its work is relearned within as many jobs.
	keep = 0.97
	// priorJobs is the weight, in jobs, of the line of the more general key or, at the top, of the declared run time.
	priorJobs = 3
	// priorVariance is the variance of the logarithm of the declared run time that the weight of the prior slope
	// assumes. Run times of a route with a relative spread of 0.3 to 0.5 have a variance of 0.1 to 0.25.
	priorVariance = 0.25
	// maxSlope bounds the slope of a line, which is 1 where declared run times prove right up to a factor.
	maxSlope = 1.5
	// priorSpread is the spread of the residuals before any run ended.
	priorSpread = 0.5
	// maxResidual bounds a residual in the measurement of errors. Tasks that take seven times as long (1.9) are rare,
	// and no single one may decide.
	maxResidual = 2
	// clipFactor times the spread bounds the residual with which a run moves the line. 3% of the tasks may take seven
	// times as long.
	clipFactor = 2
	// quantileStep is the step of the estimate of the 0.9 quantile, in spreads for each job. The estimate varies by
	// about a fifth of the spread.
	quantileStep = 0.15
	highQuantile = 0.9
	// earlyJobs is the number of jobs up to which the steps are longer: from the assumed quantile to one of a third takes
	// more than 100 jobs otherwise.
	earlyJobs = 15
	// minHigh and maxHigh bound the logarithm of the ratio of the 0.9 quantile to the median.
	minHigh, maxHigh = 0.05, 2.5
	// shareAllowance is the weight, in jobs, by which the samples of a workspace may outweigh those of each other one in
	// a shared key. What is beyond is left out; it ages the earlier samples with leastAgeing of its weight.
	shareAllowance = 4
	leastAgeing    = 0.1
	// maxCensored bounds the weight of the censored runs of a key, in jobs; they also weigh no more than the ended ones.
	maxCensored = 8
	// driftRate is the share of a job in the recent mean of residuals, in spreads. From maxDrift on, which is 3.5 times
	// the deviation of that mean, the work has changed, and earlier jobs lose weight with keepOnChange.
	driftRate    = 0.15
	maxDrift     = 1
	keepOnChange = 0.8
	// maxSharers bounds the workspaces that a shared key tells apart; the others count as one.
	maxSharers = 16
	// leastShare is the weight, in jobs, below which a workspace gives up its place among these.
	leastShare = 0.01
)

// line is a linear function of the logarithm of the declared run time.
type line struct {
	offset, slope float64
	vague         bool // it says nothing about the offset: no run time was declared, and no run has ended
}

func (l line) at(x float64) float64 { return l.offset + l.slope*x }

// fit is a decayed linear regression of the logarithm of the actual run time on that of the declared one, with what
// its predictions and the declared run times were off by. Errors are measured before the sample is taken in.
type fit struct {
	Jobs              float64 // weight of the ended jobs
	W, X, Y, XX, XY   float64 // weighted sums, with those of censored runs
	Spread            float64 // of the residuals, as a standard deviation
	DeclaredError     float64 // mean of the absolute logarithm of the ratio of actual and declared run time
	LearnedError      float64
	DeclaredHigh      float64 // 0.9 quantile of the residuals
	LearnedHigh       float64
	drift             float64            // recent mean of the residuals, in spreads
	shares            map[string]float64 // weight by workspace, in a shared key
	used              uint64
	owner             string // workspace that the key counts for; empty for a route
	lastAbove, cached line
	valid             bool
}

func newFit() *fit {
	return &fit{Spread: priorSpread, DeclaredHigh: declaredHigh, LearnedHigh: declaredHigh}
}

// line returns the fitted line, shrunk towards the given one, which weighs priorJobs.
func (f *fit) line(above line) line {
	if f.valid && f.lastAbove == above {
		return f.cached
	}
	f.lastAbove, f.valid = above, true
	f.cached = f.solve(above)
	return f.cached
}

func (f *fit) solve(above line) line {
	if f.W <= 0 {
		return above
	}
	// Around the mean of x, offset and slope are independent, apart from the weight of the prior offset.
	mean := f.X / f.W
	xx := max(0, f.XX-mean*f.X)
	xy := f.XY - mean*f.Y
	slope := (xy + priorJobs*priorVariance*above.slope) / (xx + priorJobs*priorVariance)
	slope = min(max(slope, 0), maxSlope)
	prior := float64(priorJobs)
	if above.vague {
		prior = 0
	}
	centre := (f.Y + prior*above.at(mean)) / (f.W + prior)
	return line{offset: centre - slope*mean, slope: slope}
}

// observe takes in a run that has ended. It ages earlier ones by its weight, but at least by ageing.
func (f *fit) observe(x, y, weight, ageing float64, above line, declared bool) {
	residual := y - f.line(above).at(x)
	off := float64(maxResidual)
	if declared {
		off = y - x
	}
	share := weight / (min(f.Jobs, 1/(1-keep)) + weight) // a mean of the first samples, a decayed one of the later ones
	f.DeclaredError += share * (min(math.Abs(off), maxResidual) - f.DeclaredError)
	f.LearnedError += share * (min(math.Abs(residual), maxResidual) - f.LearnedError)
	f.moveHigh(off, residual, weight)

	limit := clipFactor * f.Spread
	if above.vague && f.Jobs < minJobs {
		limit = math.Inf(1)
	}
	clipped := min(max(residual, -limit), limit)
	f.drift += driftRate * weight * (min(max(residual/f.Spread, -clipFactor), clipFactor) - f.drift)
	f.decay(math.Pow(keep, max(weight, ageing)))
	if math.Abs(f.drift) > maxDrift && f.Jobs > 2*minJobs {
		f.decay(math.Pow(keepOnChange, weight))
	}
	f.Jobs += weight
	f.add(x, y-residual+clipped, weight)
	const deviation = 1.2533 // standard deviation of a normal distribution in mean absolute deviations
	spreadShare := weight / (min(f.Jobs, 1/(1-keep)) + priorJobs)
	f.Spread += spreadShare * (deviation*min(math.Abs(residual), maxResidual) - f.Spread)
	f.Spread = max(f.Spread, minHigh)
}

// raise takes in a run that has not ended. It raises the line and the quantiles if the run is beyond them.
func (f *fit) raise(x, y, weight float64, above line) {
	l := f.line(above)
	residual := y - l.at(x)
	weight = min(weight, min(maxCensored, f.Jobs)-(f.W-f.Jobs))
	if weight <= 0 || residual <= 0 && y-x <= f.DeclaredHigh {
		return
	}
	step := quantileStep * f.Spread * weight * highQuantile
	if residual > f.LearnedHigh {
		f.LearnedHigh = min(f.LearnedHigh+step, maxHigh)
	}
	if y-x > f.DeclaredHigh {
		f.DeclaredHigh = min(f.DeclaredHigh+step, maxHigh)
	}
	// At the mean of x a sample moves the offset and leaves the slope, so that no expectation falls.
	mean := f.X / f.W
	f.add(mean, l.at(mean)+min(max(residual, 0), clipFactor*f.Spread), weight)
}

func (f *fit) moveHigh(off, residual, weight float64) {
	step := quantileStep * f.Spread * weight * max(1, earlyJobs/(f.Jobs+1))
	f.DeclaredHigh = moveQuantile(f.DeclaredHigh, off, step)
	f.LearnedHigh = moveQuantile(f.LearnedHigh, residual, step)
}

// moveQuantile moves the estimate of the quantile towards its place among the values.
func moveQuantile(quantile, value, step float64) float64 {
	if value > quantile {
		quantile += step * highQuantile
	} else {
		quantile -= step * (1 - highQuantile)
	}
	return min(max(quantile, minHigh), maxHigh)
}

func (f *fit) add(x, y, weight float64) {
	f.valid = false
	f.W += weight
	f.X += weight * x
	f.Y += weight * y
	f.XX += weight * x * x
	f.XY += weight * x * y
}

func (f *fit) decay(d float64) {
	for _, v := range []*float64{&f.Jobs, &f.W, &f.X, &f.Y, &f.XX, &f.XY} {
		*v *= d
	}
	for name := range f.shares {
		f.shares[name] *= d
	}
}

// recycleShares makes room for another workspace. Shares below leastShare are merged into that of the others, and not
// dropped: the weight of a task of a step with many tasks is as small.
func (f *fit) recycleShares() {
	merged := 0.0
	for name, w := range f.shares {
		if name != "" && w < leastShare {
			delete(f.shares, name)
			merged += w
		}
	}
	if merged > 0 {
		f.shares[""] += merged
	}
}

// limitShare returns the factor by which a sample of the workspace counts in a shared key: not at all while its samples
// outweigh those of each other workspace by shareAllowance. So one workspace bends the expectations of others only so
// far, however many jobs it sends.
func (f *fit) limitShare(workspace string, weight float64) float64 {
	if _, known := f.shares[workspace]; !known && len(f.shares) >= maxSharers {
		f.recycleShares()
		if len(f.shares) >= maxSharers {
			workspace = ""
		}
	}
	most := 0.0
	for name, w := range f.shares {
		if name != workspace {
			most = max(most, w)
		}
	}
	factor := min(1, max(0, (most+shareAllowance-f.shares[workspace])/weight))
	if f.shares == nil {
		f.shares = map[string]float64{}
	}
	f.shares[workspace] += weight * factor
	return factor
}
