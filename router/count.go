package router

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
)

// serviceKey holds the id of the service that a request was checked against.
const serviceKey = "service"

// count counts every answer by service and status class. A name that no
// release note holds is not counted by itself, or callers could fill the
// router's memory with made-up ones.
func (r *Router) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		service, _ := c.Get(serviceKey).(string)
		r.Metrics.Requests.WithLabelValues(service, class(status(c, err))).Inc()
		return err
	}
}

func status(c echo.Context, err error) int {
	if err == nil || c.Response().Committed {
		return c.Response().Status
	}
	return asRefusal(err).Reason.Status()
}

// class returns a status as 2xx, 4xx and so on.
func class(status int) string { return fmt.Sprintf("%dxx", status/http.StatusContinue) }
