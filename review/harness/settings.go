package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// fields are the settings that the platform gives to a process, as DEPLOY.md lists them.
type fields map[string]any

// lookup returns the value of a dotted name; nil if there is none.
func (f fields) lookup(name string) any {
	var value any = map[string]any(f)
	for part := range strings.SplitSeq(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template of the deploy file. Sections are rendered if their value is present
// and not false; lists are not needed.
func render(template string, f fields) string {
	out := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		value := f.lookup(m[2])
		present := value != nil && value != false
		if present != (m[1] == "#") {
			return ""
		}
		return m[3]
	})
	return placeholder.ReplaceAllStringFunc(out, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		value := f.lookup(m[1])
		if m[2] != "" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}
