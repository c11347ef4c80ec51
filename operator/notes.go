package operator

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
)

// answer sends a message in its standard JSON form.
func answer(c echo.Context, status int, m proto.Message) error {
	data, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	return c.Blob(status, echo.MIMEApplicationJSON, data)
}

// documentName stands for the release note in faults; the sender knows its file.
const documentName = "release note"

// readNote reads the body as a release note, with its faults.
func readNote(c echo.Context) (*note.Document, error) {
	request, writer := c.Request(), c.Response().Writer
	// A command that stops in the middle of its body would hold the connection for good.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(bodyTimeout)) // Not every writer can; it then has no bound of its own.
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, document.MaxBytes))
	if err != nil {
		if f := failureOf(err); f.detail.GetReason() == string(BodyTooLarge) {
			return nil, f
		}
		return nil, failed(http.StatusBadRequest, BadRequest, "the request's body did not arrive whole")
	}
	return document.Parse[*schema.ReleaseNote](documentName, data), nil
}

// locate gives the faults of a note their places in the document.
func locate(d *note.Document, err error) error {
	faults, ok := err.(*document.FaultsError) //nolint:errorlint // Wrapped faults keep the text around them.
	if !ok {
		return err
	}
	return &document.FaultsError{Faults: d.Locate(faults.Faults), Dropped: faults.Dropped}
}

func (a *api) publish(c echo.Context) error {
	id := note.PublishID(c.Request().Header.Get(PublishIDHeader))
	if id == "" {
		id = note.NewPublishID()
	}
	if !id.Valid() {
		return failed(http.StatusBadRequest, BadRequest, PublishIDHeader+" takes 32 lower-case hex digits")
	}
	d, err := readNote(c)
	if err != nil {
		return err
	}
	if err := d.Err(); err != nil {
		return err
	}
	if err := compareFrom(c, d.Message); err != nil {
		return err
	}
	// The publish goes on when the operator's command goes away, so that its
	// outcome is settled here as far as it can be.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), publishTimeout)
	defer cancel()
	accepted, err := a.Publisher.Publish(ctx, d.Message, author(c), id)
	if err != nil {
		return locate(d, err)
	}
	a.Log.InfoContext(ctx, "release note accepted", "version", accepted.Record.GetVersion(), "author", accepted.Record.GetAuthor(), "publish-id", id, "already", accepted.Already)
	status := http.StatusCreated
	if accepted.Already {
		status = http.StatusOK
	}
	return answer(c, status, &schema.PublishAnswer{
		Version: accepted.Record.GetVersion(), Already: accepted.Already, Author: accepted.Record.GetAuthor(), PublishId: string(id),
	})
}

// compareFrom gives a note that names no version the one that the command
// began with. Without it, a repeat of a publish that was lost on its way would
// overwrite what another operator published in between.
func compareFrom(c echo.Context, n *schema.ReleaseNote) error {
	version, err := number(c.Request().Header.Get(BasedOnHeader), BasedOnHeader, 0, math.MaxUint64)
	if err != nil {
		return err
	}
	if n.GetBasedOn() == 0 {
		n.BasedOn = version
	}
	return nil
}

func (a *api) check(c echo.Context) error {
	d, err := readNote(c)
	if err != nil {
		return err
	}
	result, err := a.Publisher.Check(c.Request().Context(), d)
	if err != nil {
		return err
	}
	return answer(c, http.StatusOK, &schema.CheckAnswer{Version: uint64(result.Version), ClashesUnchecked: result.ClashesUnchecked})
}

const (
	defaultHistory = 20
	maxHistory     = 200
)

func (a *api) history(c echo.Context) error {
	before, err := number(c.QueryParam("before"), "before", 0, math.MaxUint64)
	if err != nil {
		return err
	}
	limit, err := number(c.QueryParam("limit"), "limit", defaultHistory, maxHistory)
	if err != nil {
		return err
	}
	records, err := a.Store.History(c.Request().Context(), fleet.Version(before), int(limit))
	if err != nil {
		return err
	}
	return answer(c, http.StatusOK, &schema.NoteList{Notes: records})
}

func (a *api) record(c echo.Context) error {
	version, err := number(c.Param("version"), "version", 0, math.MaxUint64)
	if err != nil {
		return err
	}
	record, err := a.Store.Record(c.Request().Context(), fleet.Version(version))
	if err != nil {
		return err
	}
	if record == nil {
		return failed(http.StatusNotFound, NotFound, "there is no release note "+strconv.FormatUint(version, 10))
	}
	return answer(c, http.StatusOK, record)
}

// number returns the whole number in text, or otherwise when there is none.
func number(text, name string, otherwise, highest uint64) (uint64, error) {
	if text == "" {
		return otherwise, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > highest {
		return 0, failed(http.StatusBadRequest, BadRequest, name+" takes a whole number of at most "+strconv.FormatUint(highest, 10))
	}
	return n, nil
}
