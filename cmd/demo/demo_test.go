package demo_test

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/cmd/demo"
	"github.com/carobmill/carobmill/node/sheetfile"
)

func TestDemoReturnsCompleteAnswers(t *testing.T) {
	for _, file := range []string{"../../examples/kenya.yaml", "../../examples/chile.yaml"} {
		t.Run(file, func(t *testing.T) {
			c := qt.New(t)
			sheet, faults := sheetfile.Load(file)
			c.Assert(faults, qt.HasLen, 0)
			log := logrus.New()
			log.SetOutput(io.Discard)
			var out bytes.Buffer
			err := demo.Run(t.Context(), demo.Options{Sheet: sheet, Once: true, JSON: true, Out: &out, Log: log})
			c.Assert(err, qt.IsNil)
			var document struct {
				Answers []demo.Answer `json:"answers"`
			}
			c.Assert(json.Unmarshal(out.Bytes(), &document), qt.IsNil)
			c.Assert(document.Answers, qt.HasLen, 4)
			c.Assert(document.Answers[0].Shards, qt.Equals, 10)
			c.Assert(document.Answers[1].Shards, qt.Equals, 15)
			for _, a := range document.Answers {
				c.Assert(a.Coverage, qt.Equals, 1.0)
			}
		})
	}
}
