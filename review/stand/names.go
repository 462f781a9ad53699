package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names maps short words to the names on the wire.
var names = func() map[string]string {
	m := make(map[string]string)
	for _, line := range strings.Split(namesText, "\n") {
		if f := strings.Fields(line); len(f) == 2 {
			m[f[0]] = f[1]
		}
	}
	return m
}()
