package processbench

import (
	"net/http"
	"strconv"

	"github.com/bronzeyard/bronzeyard/bench/bounds"
)

// Names of phases that figures refer to.
const (
	phaseIdle     = "idle"
	phaseRestart  = "rolling restart of every host"
	phaseSettings = "settings changes"
	phaseLeaving  = "leaving upstreams"
	phaseKey      = "key withdrawal"
	phaseOutage   = "table outage"
	phaseLoss     = "loss of a third of the hosts"
)

// Figures returns the figures to compare with targets. Requests cut in the phase in which hosts are killed are left out:
// the kill itself closes the connections of these hosts.
func (r *Report) Figures() []bounds.Figure {
	figures := []bounds.Figure{
		{Name: "duplicate runs", Value: float64(r.Total.DuplicateRuns)},
		{Name: "false not-run", Value: float64(r.Total.FalseNotRun)},
		{Name: "leaked keys", Value: float64(r.Total.LeakedKeys)},
		{Name: "wrong answers", Value: float64(r.Total.WrongResponses)},
		{Name: "cut requests without a crash", Value: float64(r.cutWithoutCrash())},
	}
	for i := range r.Phases {
		figures = append(figures, r.Phases[i].targetFigures()...)
	}
	return figures
}

func (r *Report) cutWithoutCrash() int {
	cut := 0
	for i := range r.Phases {
		if r.Phases[i].Name != phaseLoss {
			cut += r.Phases[i].Load.CutRequests
		}
	}
	return cut
}

func (p *Phase) targetFigures() []bounds.Figure {
	switch p.Name {
	case phaseIdle:
		return []bounds.Figure{{Name: "processor, idle host", Value: p.Figures[figureProcessor]}}
	case phaseRestart:
		return []bounds.Figure{{Name: "refused below the rate, rolling restart", Value: p.rejectedPercent()}}
	case phaseSettings:
		return []bounds.Figure{{Name: "settings in force, longest", Value: p.Figures[figureActivation]}}
	case phaseLeaving:
		return []bounds.Figure{
			{Name: "work to an upstream marked as leaving", Value: p.Figures[figureLeaving]},
			{Name: "work to an upstream after its drain sign", Value: p.Figures[figureDraining]},
		}
	case phaseKey:
		return []bounds.Figure{{Name: "key accepted after withdrawal", Value: p.Figures[figureKeyAccepted]}}
	case phaseOutage:
		return []bounds.Figure{{Name: "refused below the rate, table outage", Value: p.rejectedPercent()}}
	case phaseLoss:
		return []bounds.Figure{{Name: "excluded after a loss", Value: p.Figures[figureExcluded]}}
	default:
		return nil
	}
}

// rejectedPercent returns the percentage of requests that were rejected by the rate limit or because no share of it was
// available. The offered load stays below every customer's rate.
func (p *Phase) rejectedPercent() float64 {
	if p.Load.Requests == 0 {
		return 0
	}
	rejected := p.Load.ByStatus[strconv.Itoa(http.StatusTooManyRequests)] + p.Load.ByError["limit_unavailable"]
	return 100 * float64(rejected) / float64(p.Load.Requests)
}

// invariantsHold reports whether no invariant was violated. Requests cut by the kill of hosts are no violation.
func (r *Report) invariantsHold() bool {
	return r.Total.Violations()-r.Total.CutRequests+r.cutWithoutCrash() == 0
}
