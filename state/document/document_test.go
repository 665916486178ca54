package document_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/state/document"
)

type sample struct {
	Name  string `json:"name" jsonschema:"minLength=1"`
	Count int    `json:"count" jsonschema:"minimum=1"`
	Inner struct {
		On bool `json:"on"`
	} `json:"inner"`
}

func TestDecodeReportsEveryFaultWithItsPath(t *testing.T) {
	is := is.New(t)
	err := document.Decode([]byte(`{"name":"","count":"x","inner":{"on":true,"off":1}}`), &sample{})
	var invalid *document.InvalidError
	is.True(errors.As(err, &invalid))
	paths := []string{}
	for _, p := range invalid.Problems {
		paths = append(paths, p.Path)
	}
	is.Equal(paths, []string{"/count", "/inner", "/name"})
}

func TestDecodeAcceptsValidDocument(t *testing.T) {
	is := is.New(t)
	var s sample
	is.NoErr(document.Decode([]byte(`{"name":"a","count":2,"inner":{"on":true}}`), &s))
	is.Equal(s.Count, 2)
}

type sameNameTypes struct {
	Label document.Problem `json:"label"`
	Inner Problem          `json:"inner"`
}

// Problem has the same name as a type of package document.
type Problem string

func TestTypesWithSameNameAreDistinguished(t *testing.T) {
	is := is.New(t)
	var v sameNameTypes
	is.NoErr(document.Decode([]byte(`{"label":{"path":"/a","reason":"b"},"inner":"c"}`), &v))
	is.Equal(v.Inner, Problem("c"))
}
