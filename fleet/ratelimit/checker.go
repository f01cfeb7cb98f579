package ratelimit

import (
	"slices"
	"time"
)

// checkTolerance is the excess, in tokens, that float rounding may cause.
const checkTolerance = 1e-6

// Checker replays the admissions of one customer through one bucket. It shares no code with Bucket, so that it can find
// faults there: it counts used tokens, whose number falls at the rate, where Bucket counts the tokens that are left.
type Checker struct {
	limits     Limits
	used       float64
	at         time.Time
	violations int
	excess     float64
}

// NewChecker returns a checker whose bucket is full at start.
func NewChecker(start time.Time, limits Limits) *Checker {
	return &Checker{limits: limits, at: start}
}

func (c *Checker) advance(at time.Time) {
	if elapsed := at.Sub(c.at); elapsed > 0 {
		c.used = max(0, c.used-elapsed.Seconds()*c.limits.Rate)
		c.at = at
	}
}

// Record records an admission. It returns false if the bucket had no token for the admission. Times must not decrease.
func (c *Checker) Record(at time.Time) bool {
	c.advance(at)
	c.used++
	excess := c.used - c.limits.Burst
	if excess <= checkTolerance {
		return true
	}
	c.violations++
	c.excess = max(c.excess, excess)
	return false
}

// HasToken reports whether the bucket holds a token at the given time, which must not be before that of an earlier call.
func (c *Checker) HasToken(at time.Time) bool {
	c.advance(at)
	return c.used+1 <= c.limits.Burst
}

// SetLimits changes the limits. Used tokens scale with the burst, as tokens do at the hosts.
func (c *Checker) SetLimits(at time.Time, limits Limits) {
	c.advance(at)
	c.used *= limits.Burst / c.limits.Burst
	c.limits = limits
}

// Violations returns the number of admissions over the limit.
func (c *Checker) Violations() int { return c.violations }

// MaxExcess returns the largest number of tokens by which admissions have exceeded the limit.
func (c *Checker) MaxExcess() float64 { return c.excess }

// Admission is one recorded admission.
type Admission struct {
	At       time.Time
	Customer string
}

// CheckResult is the result of Check.
type CheckResult struct {
	// Violations are the admissions over the limit, in order of time.
	Violations []Admission
	// MaxExcess is the largest number of tokens by which admissions exceeded the limit.
	MaxExcess float64
}

// Check replays recorded admissions, which may be in any order. Each customer has one bucket, which is full at its first
// admission. An admission of a customer without limits is a violation.
func Check(admissions []Admission, limits func(customer string) (Limits, bool)) CheckResult {
	sorted := slices.Clone(admissions)
	slices.SortStableFunc(sorted, func(a, b Admission) int { return a.At.Compare(b.At) })
	checkers := make(map[string]*Checker)
	var result CheckResult
	for _, admission := range sorted {
		checker, known := checkers[admission.Customer]
		if !known {
			customerLimits, _ := limits(admission.Customer)
			checker = NewChecker(admission.At, customerLimits)
			checkers[admission.Customer] = checker
		}
		if !checker.Record(admission.At) {
			result.Violations = append(result.Violations, admission)
			result.MaxExcess = max(result.MaxExcess, checker.MaxExcess())
		}
	}
	return result
}
