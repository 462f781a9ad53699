package sheet

import (
	"fmt"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/carobmill/carobmill/policy/rule"
)

// nameField and idField identify the entries of a list. fieldChanges skips
// shardsField and replicasField, which Compare reports separately.
const (
	nameField     = "name"
	idField       = "id"
	shardsField   = "shards"
	replicasField = "replicas"
)

// fieldChanges lists the fields that differ between two messages of the same
// type, except shards and replicas. Entries of lists are matched by name or id.
func fieldChanges(path string, before, after protoreflect.Message) []string {
	var out []string
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		at := rule.Join(path, string(fd.Name()))
		switch {
		case fd.Name() == shardsField || fd.Name() == replicasField:
		case fd.IsList():
			out = append(out, listChanges(at, before.Get(fd).List(), after.Get(fd).List())...)
		case fd.Kind() == protoreflect.MessageKind:
			out = append(out, fieldChanges(at, before.Get(fd).Message(), after.Get(fd).Message())...)
		case !before.Get(fd).Equal(after.Get(fd)):
			out = append(out, fmt.Sprintf("%s: %s -> %s", at, format(fd, before.Get(fd)), format(fd, after.Get(fd))))
		}
	}
	return out
}

func listChanges(path string, before, after protoreflect.List) []string {
	var out []string
	newEntries := byKey(after)
	oldEntries := byKey(before)
	for i := range before.Len() {
		m := before.Get(i).Message()
		at := fmt.Sprintf("%s[%s]", path, key(m))
		if next, ok := newEntries[key(m)]; ok {
			out = append(out, fieldChanges(at, m, next)...)
		} else {
			out = append(out, at+": removed")
		}
	}
	for i := range after.Len() {
		m := after.Get(i).Message()
		if _, ok := oldEntries[key(m)]; !ok {
			out = append(out, fmt.Sprintf("%s[%s]: added", path, key(m)))
		}
	}
	return out
}

func byKey(list protoreflect.List) map[string]protoreflect.Message {
	out := make(map[string]protoreflect.Message, list.Len())
	for i := range list.Len() {
		out[key(list.Get(i).Message())] = list.Get(i).Message()
	}
	return out
}

// key returns the name of a list entry, or its id if it has no name field.
func key(m protoreflect.Message) string {
	fields := m.Descriptor().Fields()
	if fd := fields.ByName(nameField); fd != nil {
		return m.Get(fd).String()
	}
	return m.Get(fields.ByName(idField)).String()
}

// format returns the YAML form of a value.
func format(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if fd.Kind() != protoreflect.EnumKind {
		return v.String()
	}
	value := fd.Enum().Values().ByNumber(v.Enum())
	if value == nil {
		return v.String()
	}
	return rule.ShortName(value)
}
