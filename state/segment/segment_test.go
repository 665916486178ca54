package segment_test

import (
	"io"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/state/segment"
)

// Guards against pieces that are lost or joined in another order.
func TestPiecesMakeUpTheValue(t *testing.T) {
	is := is.New(t)
	l := segment.List{[]byte("ab"), nil, []byte("c")}
	is.Equal(l.Len(), 3)
	is.Equal(string(l.Bytes()), "abc")
	read, err := io.ReadAll(l.Reader())
	is.NoErr(err)
	is.Equal(string(read), "abc")
	is.Equal(segment.Of(nil).Len(), 0)
	is.Equal(len(segment.Of(nil).Bytes()), 0)
}
