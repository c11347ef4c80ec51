package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/standin/lag"
)

// The headers between a router and an engine.
const (
	headerStreamID  = "nutmeglock-stream-id"
	headerRequestID = "nutmeglock-request-id"
	headerRefused   = "nutmeglock-refused"
)

func (e *Engine) newRoutes() *echo.Echo {
	routes := echo.New()
	routes.Use(e.breakWhenCrashed)
	routes.POST("/v1/chat/completions", e.chat, e.play(OperationChat))
	routes.GET("/v1/streams/:id", e.resume, e.play(OperationResume))
	routes.DELETE("/v1/streams/:id", e.cancel, e.play(OperationCancel))
	routes.GET("/load", e.answerLoad, e.play(OperationLoad))
	routes.GET("/cache-events", e.answerEvents, e.play(OperationEvents))
	routes.POST("/orders", e.answerOrder, e.play(OperationOrder))
	e.addTestRoutes(routes)
	return routes
}

// addTestRoutes adds what only tests call.
func (e *Engine) addTestRoutes(routes *echo.Echo) {
	routes.GET("/runs", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]map[string]int{"runs": e.Runs()})
	})
	routes.GET("/orders", e.answerOrders)
	routes.PUT("/faults", e.setFaults)
	routes.POST("/drain", func(c echo.Context) error {
		e.Drain()
		return c.NoContent(http.StatusNoContent)
	})
	routes.POST("/crash", func(c echo.Context) error {
		e.Crash()
		return c.NoContent(http.StatusNoContent)
	})
	routes.POST("/restore", func(c echo.Context) error {
		e.Restore()
		return c.NoContent(http.StatusNoContent)
	})
}

func (e *Engine) breakWhenCrashed(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.mu.Lock()
		crashed := e.crashed
		e.mu.Unlock()
		if crashed && c.Path() != "/restore" {
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

type errorBody struct {
	Error string `json:"error"`
}

// play plays the fault in force around an operation.
func (e *Engine) play(operation string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			f, ok := e.Faults.Take(operation, c.Request().Header.Get(headerRequestID))
			if !ok {
				return next(c)
			}
			return e.playFault(c, next, f)
		}
	}
}

func (e *Engine) playFault(c echo.Context, next echo.HandlerFunc, f fault.Fault) error {
	switch f.Kind {
	case fault.RequestLost:
		panic(http.ErrAbortHandler)
	case fault.Down:
		return c.JSON(http.StatusInternalServerError, errorBody{"out of order"})
	case fault.RefuseFull:
		return refuse(c, "full")
	case fault.RefuseDraining:
		return refuse(c, "draining")
	case fault.Slow:
		if err := f.Wait(c.Request().Context(), e.options.Clock); err != nil {
			return err
		}
	case fault.ReplyLost:
		c.Set(breakAfter, 0)
	case fault.BreakAfterEvents:
		c.Set(breakAfter, f.Events)
	default:
	}
	return next(c)
}

// breakAfter is the context key of the number of events before the connection breaks.
const breakAfter = "break-after"

func refuse(c echo.Context, why string) error {
	c.Response().Header().Set(headerRefused, why)
	return c.JSON(http.StatusServiceUnavailable, errorBody{why})
}

func (e *Engine) chat(c echo.Context) error {
	var request chatRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{err.Error()})
	}
	header := c.Request().Header
	s := newStream(header.Get(headerStreamID), header.Get(headerRequestID), request)
	if !e.submit(s) {
		return refuse(c, "draining")
	}
	if request.Stream {
		return e.relay(c, s, 0)
	}
	return e.answerWhole(c, s)
}

func (e *Engine) resume(c echo.Context) error {
	after, err := strconv.Atoi(c.QueryParam("after"))
	if err != nil || after < 0 {
		return c.JSON(http.StatusBadRequest, errorBody{"after must be the number of an event"})
	}
	s := e.find(c.Param("id"))
	if s == nil {
		return c.JSON(http.StatusNotFound, errorBody{"no such stream"})
	}
	return e.relay(c, s, after)
}

func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) cancel(c echo.Context) error {
	s := e.find(c.Param("id"))
	if s == nil {
		return c.JSON(http.StatusNotFound, errorBody{"no such stream"})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remove(s, cancelled)
	return c.NoContent(http.StatusNoContent)
}

// relay sends the events after a number until the stream ends or the reader goes.
func (e *Engine) relay(c echo.Context, s *stream, after int) error {
	e.enter(s)
	defer e.leave(s)
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	if s.id != "" {
		response.Header().Set(headerStreamID, s.id)
	}
	response.WriteHeader(http.StatusOK)
	response.Flush()
	limit, limited := c.Get(breakAfter).(int)
	for {
		events, state, changed := e.look(s, after)
		for _, data := range events {
			if limited && after >= limit {
				panic(http.ErrAbortHandler)
			}
			if _, err := response.Write(data); err != nil {
				return nil // the reader has gone, which is no fault of the engine
			}
			response.Flush()
			after++
		}
		if state == complete {
			return nil
		}
		if state != alive {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// answerWhole sends the answer once it is complete.
func (e *Engine) answerWhole(c echo.Context, s *stream) error {
	e.enter(s)
	defer e.leave(s)
	for {
		_, state, changed := e.look(s, 0)
		_, broken := c.Get(breakAfter).(int)
		if state == complete && !broken {
			return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, s.answer.whole())
		}
		if state != alive {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (e *Engine) answerLoad(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock.Now()
	load, at := e.load.Get(now)
	load.AtUnixMs = lag.TakenAt(now, at, e.options.ReportLag).UnixMilli()
	return c.JSON(http.StatusOK, load)
}

type eventsReply struct {
	Events []CacheEvent `json:"events"`
}

func (e *Engine) answerEvents(c echo.Context) error {
	after, err := strconv.ParseUint(orElse(c.QueryParam("after"), "0"), 10, 64)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{"after must be the number of an event"})
	}
	e.mu.Lock()
	events := e.cache.after(e.options.Clock.Now(), after)
	e.mu.Unlock()
	return c.JSON(http.StatusOK, eventsReply{Events: events})
}

func (e *Engine) answerOrder(c echo.Context) error {
	var order Order
	if err := c.Bind(&order); err != nil {
		return err
	}
	if !e.take(order) {
		return c.JSON(http.StatusConflict, errorBody{"old fencing number"})
	}
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) answerOrders(c echo.Context) error {
	e.mu.Lock()
	orders := append([]Order{}, e.orders...)
	e.mu.Unlock()
	return c.JSON(http.StatusOK, map[string][]Order{"orders": orders})
}

func (e *Engine) setFaults(c echo.Context) error {
	var request fault.Orders
	if err := c.Bind(&request); err != nil {
		return err
	}
	e.Faults.Set(request.Faults...)
	return c.NoContent(http.StatusNoContent)
}
