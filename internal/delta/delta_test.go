package delta

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const testLimit = 1 << 20

// TestPatch guards against a patch that yields another value than the one it was made of.
func TestPatch(t *testing.T) {
	Convey("a patch makes the value from its base, for random edits", t, func() {
		wrong := 0
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 0))
			base := randomBytes(random, random.IntN(300_000))
			value := edit(random, base)
			patch, err := Make(base, value)
			if err != nil {
				wrong++
				continue
			}
			got, err := Apply(base, patch, testLimit)
			if err != nil || !bytes.Equal(got, value) {
				wrong++
			}
		}
		So(wrong, ShouldEqual, 0)
	})
	Convey("a patch is refused for another base, when damaged, and beyond the limit", t, func() {
		random := rand.New(rand.NewPCG(1, 0))
		base := randomBytes(random, 100_000)
		value := edit(random, base)
		patch, err := Make(base, value)
		So(err, ShouldBeNil)
		var e *Error
		_, err = Apply(randomBytes(random, 100_000), patch, testLimit)
		So(errors.As(err, &e), ShouldBeTrue)
		_, err = Apply(base, patch[:len(patch)-1], testLimit)
		So(errors.As(err, &e), ShouldBeTrue)
		_, err = Apply(base, nil, 10)
		So(err, ShouldBeNil) // an empty patch makes an empty value
		bomb, err := Make(nil, make([]byte, 8<<20))
		So(err, ShouldBeNil)
		_, err = Apply(nil, bomb, testLimit)
		So(errors.As(err, &e), ShouldBeTrue)
	})
}

func randomBytes(random *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

// edit returns a copy with some byte ranges replaced, added or removed.
func edit(random *rand.Rand, base []byte) []byte {
	value := bytes.Clone(base)
	for range random.IntN(5) {
		at := random.IntN(len(value) + 1)
		end := min(len(value), at+random.IntN(100))
		value = append(value[:at:at], append(randomBytes(random, random.IntN(100)), value[end:]...)...)
	}
	return value
}
