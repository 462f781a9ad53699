// Package rule validates a message against the field option (carobmill.v1.rule)
// of its schema: required fields and ranges of numbers.
package rule

import (
	"fmt"
	"strconv"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Fault is one validation error in a file written by an operator.
type Fault struct {
	// Path is the path of the field, such as services[0].slots.
	Path    string
	Problem string
	// Allowed describes the valid values.
	Allowed string
}

// String formats the fault as a message for operators.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s, %s", f.Path, f.Problem, f.Allowed)
}

// Of returns the rule of a field, or nil if the schema defines none.
func Of(fd protoreflect.FieldDescriptor) *pb.Rule {
	if !proto.HasExtension(fd.Options(), pb.E_Rule) {
		return nil
	}
	r, _ := proto.GetExtension(fd.Options(), pb.E_Rule).(*pb.Rule)
	return r
}

// Bounded reports whether the rule limits the range of numbers.
func Bounded(r *pb.Rule) bool {
	return r.GetMin() != 0 || r.GetMax() != 0
}

// InRange reports whether the rule allows the number.
func InRange(r *pb.Rule, number float64) bool {
	return !Bounded(r) || (number >= r.GetMin() && number <= r.GetMax())
}

// Range describes the numbers that the rule allows.
func Range(r *pb.Rule) string {
	return fmt.Sprintf("allowed is %s to %s", number(r.GetMin()), number(r.GetMax()))
}

// Join appends a field name to the path of its message.
func Join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// Index appends an element's index to the path of a list.
func Index(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// Check returns all faults of a message. The caller fills in defaults first.
func Check(m proto.Message) []Fault {
	c := &checker{}
	c.message("", m.ProtoReflect())
	return c.faults
}

type checker struct {
	faults []Fault
}

func (c *checker) message(path string, m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		c.field(Join(path, string(fields.Get(i).Name())), m, fields.Get(i))
	}
}

func (c *checker) field(path string, m protoreflect.Message, fd protoreflect.FieldDescriptor) {
	r := Of(fd)
	if !m.Has(fd) {
		c.absent(path, fd, r)
		return
	}
	switch {
	case fd.IsList() && fd.Kind() == protoreflect.MessageKind:
		list := m.Get(fd).List()
		for i := range list.Len() {
			c.message(Index(path, i), list.Get(i).Message())
		}
	case fd.IsList() || fd.IsMap():
	case fd.Kind() == protoreflect.MessageKind:
		c.message(path, m.Get(fd).Message())
	default:
		c.number(path, r, m.Get(fd))
	}
}

func (c *checker) absent(path string, fd protoreflect.FieldDescriptor, r *pb.Rule) {
	switch {
	case r.GetRequired() && fd.IsList():
		c.add(path, "is missing or empty", "at least one entry is required")
	case r.GetRequired() && Bounded(r):
		c.add(path, "is missing or 0", Range(r))
	case r.GetRequired():
		c.add(path, "is missing or empty", "a value is required")
	case !fd.HasPresence() && !fd.IsList() && !InRange(r, 0):
		c.add(path, "is 0", Range(r))
	}
}

func (c *checker) number(path string, r *pb.Rule, v protoreflect.Value) {
	n, ok := numeric(v)
	if ok && !InRange(r, n) {
		c.add(path, "is "+number(n), Range(r))
	}
}

func (c *checker) add(path, problem, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Problem: problem, Allowed: allowed})
}

func numeric(v protoreflect.Value) (float64, bool) {
	switch n := v.Interface().(type) {
	case uint32:
		return float64(n), true
	case uint64:
		return float64(n), true
	case int64:
		return float64(n), true
	case int32:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}

func number(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}
