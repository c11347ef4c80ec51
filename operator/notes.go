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

// writeJSON responds with a message in its standard JSON form.
func writeJSON(c echo.Context, status int, m proto.Message) error {
	data, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	return c.Blob(status, echo.MIMEApplicationJSON, data)
}

// documentName is the file name in faults. The operator's command shows the real
// file name instead.
const documentName = "release note"

// readNote reads the request body as a release note with its faults.
func readNote(c echo.Context) (*note.Document, error) {
	request, writer := c.Request(), c.Response().Writer
	// Without a deadline, a command that stops in the middle of its body would
	// hold the connection forever.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(bodyTimeout)) // Not every writer supports deadlines; without one the body has no time limit here.
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, document.MaxBytes))
	if err != nil {
		if f := failureFor(err); f.detail.GetReason() == string(BodyTooLarge) {
			return nil, f
		}
		return nil, newFailure(http.StatusBadRequest, BadRequest, "the request's body did not arrive whole")
	}
	return document.Parse[*schema.ReleaseNote](documentName, data), nil
}

// locateFaults adds positions in the document to the faults of a note.
func locateFaults(d *note.Document, err error) error {
	faults, ok := err.(*document.FaultsError) //nolint:errorlint // Wrapped faults keep the text around them.
	if !ok {
		return err
	}
	return &document.FaultsError{Faults: d.LocateFaults(faults.Faults), Dropped: faults.Dropped}
}

func (a *api) publish(c echo.Context) error {
	id := note.PublishID(c.Request().Header.Get(PublishIDHeader))
	if id == "" {
		id = note.NewPublishID()
	}
	if !id.Valid() {
		return newFailure(http.StatusBadRequest, BadRequest, PublishIDHeader+" takes 32 lower-case hex digits")
	}
	d, err := readNote(c)
	if err != nil {
		return err
	}
	if err := d.Err(); err != nil {
		return err
	}
	if err := setBasedOn(c, d.Message); err != nil {
		return err
	}
	// The publish continues when the operator's command disconnects, so that this
	// router determines its outcome if possible.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), publishTimeout)
	defer cancel()
	accepted, err := a.Publisher.Publish(ctx, d.Message, author(c), id)
	if err != nil {
		return locateFaults(d, err)
	}
	a.Log.InfoContext(ctx, "release note accepted", "version", accepted.Record.GetVersion(), "author", accepted.Record.GetAuthor(), "publish-id", id, "already", accepted.AlreadyAccepted)
	status := http.StatusCreated
	if accepted.AlreadyAccepted {
		status = http.StatusOK
	}
	return writeJSON(c, status, &schema.PublishAnswer{
		Version: accepted.Record.GetVersion(), Already: accepted.AlreadyAccepted, Author: accepted.Record.GetAuthor(), PublishId: string(id),
	})
}

// setBasedOn sets the base version of a note without one to the version at which
// the command began. Without it, retrying a publish that was lost on its way
// would overwrite what another operator published meanwhile.
func setBasedOn(c echo.Context, n *schema.ReleaseNote) error {
	version, err := parseUint(c.Request().Header.Get(BasedOnHeader), BasedOnHeader, 0, math.MaxUint64)
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
	return writeJSON(c, http.StatusOK, &schema.CheckAnswer{Version: uint64(result.Version), ClashesUnchecked: result.ClashesUnchecked})
}

const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 200
)

func (a *api) history(c echo.Context) error {
	before, err := parseUint(c.QueryParam("before"), "before", 0, math.MaxUint64)
	if err != nil {
		return err
	}
	limit, err := parseUint(c.QueryParam("limit"), "limit", defaultHistoryLimit, maxHistoryLimit)
	if err != nil {
		return err
	}
	records, err := a.Store.History(c.Request().Context(), fleet.Version(before), int(limit))
	if err != nil {
		return err
	}
	return writeJSON(c, http.StatusOK, &schema.NoteList{Notes: records})
}

func (a *api) record(c echo.Context) error {
	version, err := parseUint(c.Param("version"), "version", 0, math.MaxUint64)
	if err != nil {
		return err
	}
	record, err := a.Store.Record(c.Request().Context(), fleet.Version(version))
	if err != nil {
		return err
	}
	if record == nil {
		return newFailure(http.StatusNotFound, NotFound, "there is no release note "+strconv.FormatUint(version, 10))
	}
	return writeJSON(c, http.StatusOK, record)
}

// parseUint parses a whole number, with a default for an empty text.
func parseUint(text, name string, fallback, maximum uint64) (uint64, error) {
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > maximum {
		return 0, newFailure(http.StatusBadRequest, BadRequest, name+" takes a whole number of at most "+strconv.FormatUint(maximum, 10))
	}
	return n, nil
}
