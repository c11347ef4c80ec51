package router

import (
	"time"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	arrivedKey = "arrived"
	// handedOnKey marks a request whose end the Runner reports.
	handedOnKey = "handed-on"
)

// report tells the observers of a request that was refused here. One whose
// client account or service is not known is left out: nobody could be named.
func (r *Router) report(c echo.Context, reason refusal.Reason) {
	view := r.Notes.Current()
	if view == nil || c.Get(handedOnKey) != nil {
		return
	}
	account, refused := r.account(c.Request())
	service := knownService(c, view)
	if refused != nil || service == nil {
		return
	}
	arrived, _ := c.Get(arrivedKey).(time.Time)
	report := call.Report{
		Account: fleet.AccountID(account.GetId()), Service: fleet.ServiceID(service.GetId()),
		Model:   fleet.Kind(service.GetKind()) == fleet.Model,
		Arrived: arrived, Deadline: r.Limits.DefaultDeadline, Total: r.Timer.Now().Sub(arrived),
		Refused: reason,
	}
	report.NonIdempotent = c.Request().Header.Get(HeaderNonIdempotent) == "true" ||
		!report.Model && !idempotent(c.Request(), service)
	if deadline, refused := r.deadline(c.Request()); refused == nil {
		report.Deadline = deadline.Sub(r.Timer.Now())
	}
	r.Observers.Ended(report)
}

// knownService returns the service that a request was checked against, or the
// plain one that its path names. A chat's is known only once its body was read.
func knownService(c echo.Context, view *note.View) *schema.Service {
	if id, ok := c.Get(serviceKey).(string); ok {
		return view.Service(fleet.ServiceID(id))
	}
	service := view.Service(fleet.ServiceID(c.Param("service")))
	if fleet.Kind(service.GetKind()) != fleet.Plain {
		return nil
	}
	return service
}
