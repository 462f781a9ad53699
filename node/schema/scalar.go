package schema

import (
	"math"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/carobmill/carobmill/policy/rule"
)

// Short tags of the YAML core schema.
const (
	tagString = "!!str"
	tagInt    = "!!int"
	tagFloat  = "!!float"
	tagBool   = "!!bool"
	tagNull   = "!!null"
)

func (d *decoder) decodeScalar(path string, n *yaml.Node, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	var zero protoreflect.Value
	switch fd.Kind() {
	case protoreflect.StringKind:
		if !d.expectScalar(path, n, "text (quote numbers, true and false)", tagString) {
			return zero, false
		}
		return protoreflect.ValueOfString(n.Value), true
	case protoreflect.BoolKind:
		if !d.expectScalar(path, n, "true or false", tagBool) {
			return zero, false
		}
		return protoreflect.ValueOfBool(strings.EqualFold(n.Value, "true")), true
	case protoreflect.EnumKind:
		return d.decodeEnum(path, n, fd.Enum())
	case protoreflect.Uint32Kind:
		v, ok := d.decodeUnsigned(path, n, fd, math.MaxUint32)
		return protoreflect.ValueOfUint32(uint32(v)), ok
	case protoreflect.Uint64Kind:
		v, ok := d.decodeUnsigned(path, n, fd, math.MaxUint64)
		return protoreflect.ValueOfUint64(v), ok
	case protoreflect.DoubleKind:
		return d.decodeDouble(path, n, fd)
	default:
		d.add(path, "has a type that YAML files do not support", "omit the field")
		return zero, false
	}
}

func (d *decoder) decodeUnsigned(path string, n *yaml.Node, fd protoreflect.FieldDescriptor, limit uint64) (uint64, bool) {
	if !d.expectScalar(path, n, "a whole number", tagInt) {
		return 0, false
	}
	v, err := strconv.ParseUint(strings.ReplaceAll(n.Value, "_", ""), 0, 64)
	if err != nil || v > limit {
		d.add(path, "is "+printable(n.Value), "allowed is 0 to "+strconv.FormatUint(limit, 10))
		return 0, false
	}
	return v, d.inRange(path, n, fd, float64(v))
}

func (d *decoder) decodeDouble(path string, n *yaml.Node, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	var v float64
	if !d.expectScalar(path, n, "a number", tagInt, tagFloat) {
		return protoreflect.Value{}, false
	}
	if err := n.Decode(&v); err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		d.add(path, "is "+printable(n.Value), "a finite number is allowed")
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfFloat64(v), d.inRange(path, n, fd, v)
}

// inRange adds a fault and returns false unless v is in the range of the field.
func (d *decoder) inRange(path string, n *yaml.Node, fd protoreflect.FieldDescriptor, v float64) bool {
	r := rule.Of(fd)
	if rule.InRange(r, v) {
		return true
	}
	d.add(path, "is "+printable(n.Value), rule.Range(r))
	return false
}

func (d *decoder) decodeEnum(path string, n *yaml.Node, ed protoreflect.EnumDescriptor) (protoreflect.Value, bool) {
	allowed := make([]string, 0, ed.Values().Len())
	for i := range ed.Values().Len() {
		value := ed.Values().Get(i)
		if value.Number() == 0 {
			continue
		}
		short := rule.ShortName(value)
		if n.Kind == yaml.ScalarNode && n.Value == short {
			return protoreflect.ValueOfEnum(value.Number()), true
		}
		allowed = append(allowed, short)
	}
	if n.Kind != yaml.ScalarNode {
		d.addWrongType(path, n, "one of "+strings.Join(allowed, ", "))
		return protoreflect.Value{}, false
	}
	d.add(path, "is "+strconv.Quote(n.Value[:min(len(n.Value), maxQuotedBytes)]), "allowed are "+strings.Join(allowed, ", "))
	return protoreflect.Value{}, false
}

// expectScalar adds a fault and returns false unless n is a scalar with one of the tags.
func (d *decoder) expectScalar(path string, n *yaml.Node, want string, tags ...string) bool {
	if n.Kind == yaml.ScalarNode {
		for _, tag := range tags {
			if n.ShortTag() == tag {
				return true
			}
		}
	}
	d.addWrongType(path, n, want)
	return false
}

func (d *decoder) addWrongType(path string, n *yaml.Node, want string) {
	d.add(path, "is "+kindName(n)+" (line "+strconv.Itoa(n.Line)+")", "allowed is "+want)
}

func kindName(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	switch n.ShortTag() {
	case tagNull:
		return "empty"
	case tagInt, tagFloat:
		return "a number"
	case tagBool:
		return "true or false"
	default:
		return "text"
	}
}
