package upgrade

import (
	"math"
	"slices"

	"github.com/cassialead/cassialead/config"
)

const (
	windowLength = 8                        // intervals in which trouble that begins late is looked for
	slowClasses  = stepsPerOctave + 1       // time classes above the old median, a factor of 2.4 to 2.8, above which an answer is slow
	allRoutes    = config.RouteName("\x00") // the sum over all routes, beside the routes themselves
)

// comparison sums up, over intervals, how the answers of the new version differ from those of the old one in the same interval
// (as a Mantel-Haenszel test does, in which trouble that hits both versions counts for neither).
type comparison struct {
	answers, bad float64 // of the new version
	expected     float64 // bad ones among them if both versions were alike
	variance     float64 // of the bad ones in that case
}

func (c comparison) plus(o comparison, sign float64) comparison {
	return comparison{c.answers + sign*o.answers, c.bad + sign*o.bad, c.expected + sign*o.expected, c.variance + sign*o.variance}
}

func (c comparison) excess() float64 { return c.bad - c.expected }

// score returns how many standard deviations the bad answers are above the expected ones. The square roots make it hold for few bad answers
// as well, where the plain quotient reaches four in one of 270 cases by chance.
func (c comparison) score() float64 {
	if c.excess() <= 0 || c.expected <= 0 {
		return 0
	}
	return 2 * (math.Sqrt(c.bad+0.375) - math.Sqrt(c.expected+0.375)) / math.Sqrt(max(c.variance/c.expected, 0.1))
}

// compare returns the difference in one interval: bad of n answers of the new version against those of the old one.
func compare(bad, n, oldBad, oldN int) comparison {
	total := float64(n + oldN)
	if n == 0 || oldN == 0 || total < 2 {
		return comparison{}
	}
	allBad := float64(bad + oldBad)
	return comparison{answers: float64(n), bad: float64(bad), expected: float64(n) * allBad / total,
		variance: float64(n) * float64(oldN) * allBad * (total - allBad) / (total * total * (total - 1))}
}

// trait is what is compared: failures or slow answers.
type trait int

const (
	failures trait = iota
	slowness
	traits
)

// course is the sum of a trait's comparisons on a route.
type course struct {
	total  comparison
	worst  comparison // interval with the largest excess
	recent []comparison
}

func (c *course) add(o comparison) {
	c.total = c.total.plus(o, 1)
	if o.excess() > c.worst.excess() {
		c.worst = o
	}
	if c.recent = append(c.recent, o); len(c.recent) > windowLength {
		c.recent = c.recent[1:]
	}
}

// Below these parts of the answers a difference is not that of a bad version, however certain it is: an exposed target may have somewhat more
// load than an old one.
var minPart = [traits]float64{failures: 0.02, slowness: 0.05}

// Scores from which a version is bad, or in doubt: then it is not completed, and its share not raised. With few expected answers the score
// understates how rare an excess is; with manyVariance and more, manyScore is added.
const (
	badScore     = 3.0
	doubtScore   = 1.8
	manyScore    = 1.0
	manyVariance = 6.0
)

// differs reports whether the new version is worse, since the start or recently.
func (c *course) differs(t trait, minScore float64) bool {
	var recent, worst comparison
	for _, o := range c.recent {
		recent = recent.plus(o, 1)
		if o.excess() > worst.excess() {
			worst = o
		}
	}
	return exceeds(c.total, c.worst, t, minScore) || exceeds(recent, worst, t, minScore)
}

const largeExcess = 20 // bad answers above the expected number that count although they lie within one interval; more than a target has slots

// exceeds reports whether a sum of comparisons shows a difference. One that lies within a single interval, such as the calls lost when a
// process dies, counts only if it is large.
func exceeds(total, worst comparison, t trait, minScore float64) bool {
	if total.score() < minScore+manyScore*min(total.variance/manyVariance, 1) || total.excess() < minPart[t]*total.answers {
		return false
	}
	return total.excess() >= largeExcess || total.plus(worst, -1).excess() >= 1
}

// evidence holds what is known of both versions.
type evidence struct {
	old     Report // all answers of the old versions, for their median times
	courses map[config.RouteName]*[traits]course
	answers int // of the new version
}

func newEvidence() evidence {
	return evidence{old: Report{}, courses: map[config.RouteName]*[traits]course{}}
}

// observe adds the answers of one interval.
func (e *evidence) observe(new, old Report) {
	e.old.Add(old)
	e.answers += new.Answers()
	var sum [traits]struct{ bad, n, oldBad, oldN int }
	routes := map[config.RouteName]bool{}
	for route := range new {
		routes[route] = true
	}
	for route := range old {
		routes[route] = true
	}
	for route := range e.courses {
		routes[route] = true // an interval without answers ends up in the window, too
	}
	delete(routes, allRoutes)
	for route := range routes {
		n, o := new[route], old[route]
		slow, timed, oldSlow, oldTimed := 0, 0, 0, 0
		if limit, ok := slowClass(e.old[route]); ok {
			slow, timed = countFrom(n, limit)
			oldSlow, oldTimed = countFrom(o, limit)
		}
		e.add(route, failures, compare(n.Bad, n.Answers, o.Bad, o.Answers))
		e.add(route, slowness, compare(slow, timed, oldSlow, oldTimed))
		f, s := &sum[failures], &sum[slowness]
		f.bad, f.n, f.oldBad, f.oldN = f.bad+n.Bad, f.n+n.Answers, f.oldBad+o.Bad, f.oldN+o.Answers
		s.bad, s.n, s.oldBad, s.oldN = s.bad+slow, s.n+timed, s.oldBad+oldSlow, s.oldN+oldTimed
	}
	for t, c := range sum {
		e.add(allRoutes, trait(t), compare(c.bad, c.n, c.oldBad, c.oldN)) // both versions get the same mix of routes
	}
}

func (e *evidence) add(route config.RouteName, t trait, c comparison) {
	if e.courses[route] == nil {
		e.courses[route] = &[traits]course{}
	}
	e.courses[route][t].add(c)
}

// differs reports whether the new version is worse on any route or on all together.
func (e *evidence) differs(minScore float64) bool {
	for _, c := range e.courses {
		for t := range traits {
			if c[t].differs(t, minScore) {
				return true
			}
		}
	}
	return false
}

// slowClass returns the time class above which an answer is slow against the median of the old versions.
func slowClass(old Counts) (int, bool) {
	var present []int
	n := 0
	for class, count := range old.Times {
		present = append(present, class)
		n += count
	}
	if n == 0 {
		return 0, false
	}
	slices.Sort(present)
	seen := 0
	for _, class := range present {
		if seen += old.Times[class]; 2*seen >= n {
			return class + slowClasses, true
		}
	}
	return 0, false
}

// countFrom returns how many of the timed answers are above a class, and how many are timed.
func countFrom(c Counts, limit int) (slow, timed int) {
	for class, n := range c.Times {
		timed += n
		if class > limit {
			slow += n
		}
	}
	return slow, timed
}
