package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxNameBytes limits service, class, shard, key and idempotency key.
	maxNameBytes = 256
	// maxDeadlineMs limits the deadline accepted by the decoder. The maximum of
	// the service is lower.
	maxDeadlineMs = 24 * 60 * 60 * 1000
)

// FieldError reports an invalid request and the field that is invalid.
type FieldError struct {
	Field   string
	Problem string
	// TooLarge is set when the body exceeds the size limit.
	TooLarge bool
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Problem)
}

func decodeQuery(_ context.Context, r *http.Request) (any, error) {
	var req QueryRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	if err := checkNames(nameField{"service", req.Service, true}, nameField{"class", req.Class, true}); err != nil {
		return nil, err
	}
	if len(req.Query) == 0 {
		return nil, &FieldError{Field: "query", Problem: "is missing; any JSON value is allowed"}
	}
	if err := checkDeadline(req.DeadlineMs); err != nil {
		return nil, err
	}
	return &req, nil
}

func decodeExecute(_ context.Context, r *http.Request) (any, error) {
	var req ExecuteRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	err := checkNames(
		nameField{"service", req.Service, true},
		nameField{"class", req.Class, true},
		nameField{"shard", req.Shard, false},
		nameField{"key", req.Key, false},
		nameField{"idempotency_key", req.IdempotencyKey, false},
	)
	if err != nil {
		return nil, err
	}
	if (req.Shard == "") == (req.Key == "") {
		return nil, &FieldError{Field: "shard", Problem: "exactly one of shard and key is required"}
	}
	if len(req.Body) == 0 {
		return nil, &FieldError{Field: "body", Problem: "is missing; any JSON value is allowed"}
	}
	if err := checkDeadline(req.DeadlineMs); err != nil {
		return nil, err
	}
	return &req, nil
}

// decodeBody decodes a body that consists of exactly one JSON document.
func decodeBody(r *http.Request, into any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return bodyError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{Field: "body", Problem: "contains data after the JSON document"}
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &FieldError{
			Field:    "body",
			Problem:  fmt.Sprintf("is larger than %d bytes", tooLarge.Limit),
			TooLarge: true,
		}
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{
			Field:   fieldOrBody(wrongType.Field),
			Problem: fmt.Sprintf("got %s, expected %s", wrongType.Value, allowedType(wrongType.Type)),
		}
	}
	const unknown = "json: unknown field "
	if text := err.Error(); strings.HasPrefix(text, unknown) {
		name := strings.Trim(text[len(unknown):], `"`)
		return &FieldError{Field: fieldOrBody(name), Problem: fmt.Sprintf("unknown field %q", name)}
	}
	return &FieldError{Field: "body", Problem: "is not valid JSON: " + err.Error()}
}

// fieldOrBody returns "body" for an error that has no field.
func fieldOrBody(field string) string {
	if field == "" {
		return "body"
	}
	return field
}

// allowedType returns the JSON description of a Go type.
func allowedType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int64:
		return "an integer"
	default:
		return "an object"
	}
}

type nameField struct {
	field    string
	value    string
	required bool
}

func checkNames(names ...nameField) error {
	for _, n := range names {
		if n.required && n.value == "" {
			return &FieldError{Field: n.field, Problem: "is missing"}
		}
		if len(n.value) > maxNameBytes {
			return &FieldError{Field: n.field, Problem: fmt.Sprintf("is longer than %d bytes", maxNameBytes)}
		}
	}
	return nil
}

func checkDeadline(ms int64) error {
	if ms < 0 || ms > maxDeadlineMs {
		return &FieldError{Field: "deadline_ms", Problem: fmt.Sprintf("is out of range: must be between 0 and %d", maxDeadlineMs)}
	}
	return nil
}
