package forward

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/origin"
)

// resumes reports whether the caller takes up a stream of which it has the beginning.
func (j *job) resumes() bool { return j.info.Resumes != "" || j.info.LastEventID > 0 }

// countResumption records at the first event from an upstream whether a stream goes on there that
// began elsewhere, and the software versions of both.
func (j *job) countResumption(ticket home.Ticket) {
	software := ticket.Upstream().Software
	switch {
	case j.eventCount == 0:
		j.firstSoftware = software
		if j.resumes() {
			j.addResumption(origin.Caller, "", software)
		}
	case j.eventSends < j.sends:
		j.addResumption(origin.Router, j.firstSoftware, software)
	}
	j.eventSends = j.sends
}

func (j *job) addResumption(by origin.Resumer, began, goesOn fleet.SoftwareVersion) {
	j.handler.Metrics.ResumedStreams.WithLabelValues(string(by), string(origin.Compare(began, goesOn))).Inc()
}
