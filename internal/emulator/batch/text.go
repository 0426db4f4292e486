package batch

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Segment is a run of consecutive tokens that one weight version produced.
type Segment struct {
	Version int64
	Tokens  int
}

// PromptHash returns the hash of a prompt that lengths and texts derive from.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// BytesPerToken is the number of bytes of a prompt that count as one token.
const BytesPerToken = 4

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

const (
	consonants       = "bcdfghjklmnprstv"
	vowels           = "aeio"
	consonantBits    = 4
	vowelBits        = 2
	syllablesPerWord = 3
	tokenBytes       = 2*syllablesPerWord + 1
)

// Text returns the text of the segments of a stream whose first token is at
// position start of the answer.
func Text(promptHash uint64, start int, segments []Segment) string {
	var text strings.Builder
	position := start
	for _, segment := range segments {
		text.Grow(segment.Tokens * tokenBytes)
		for range segment.Tokens {
			writeToken(&text, promptHash, segment.Version, position)
			position++
		}
	}
	return text.String()
}

func writeToken(text *strings.Builder, promptHash uint64, version int64, position int) {
	var key [24]byte
	binary.LittleEndian.PutUint64(key[0:], promptHash)
	binary.LittleEndian.PutUint64(key[8:], uint64(version))
	binary.LittleEndian.PutUint64(key[16:], uint64(position))
	bits := xxhash.Sum64(key[:])
	for range syllablesPerWord {
		text.WriteByte(consonants[bits&(1<<consonantBits-1)])
		bits >>= consonantBits
		text.WriteByte(vowels[bits&(1<<vowelBits-1)])
		bits >>= vowelBits
	}
	text.WriteByte(' ')
}
