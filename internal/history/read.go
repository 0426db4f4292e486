package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/zeebo/errs/v2"
)

// ErrRead marks an error of reading a history: a damaged history is not judged.
const ErrRead = errs.Tag("history: read")

// readerBufferSize is the buffer of a reader in bytes; a line may be longer.
const readerBufferSize = 1 << 20

// Position names the line that an event stands on.
type Position struct {
	File string
	// Line counts from 1.
	Line int
}

// String returns "file:line".
func (p Position) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// Read calls visit with every event of r, in the order of its lines. name
// stands for r in positions and errors.
func Read(r io.Reader, name string, visit func(Event, Position)) error {
	reader := bufio.NewReaderSize(r, readerBufferSize)
	position := Position{File: name}
	for {
		position.Line++
		line, readErr := readLine(reader)
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return ErrRead.Errorf("%v: %w", position, readErr)
		}
		if len(bytes.TrimSuffix(line, []byte("\n"))) > 0 {
			var event Event
			if err := json.Unmarshal(line, &event); err != nil {
				return ErrRead.Errorf("%v: %w", position, err)
			}
			if event.Kind == "" {
				return ErrRead.Errorf("%v: event without a kind", position)
			}
			visit(event, position)
		}
		if readErr != nil {
			return nil
		}
	}
}

// ReadFiles reads the files one after the other.
func ReadFiles(paths []string, visit func(Event, Position)) error {
	for _, path := range paths {
		if err := readFile(path, visit); err != nil {
			return err
		}
	}
	return nil
}

func readFile(path string, visit func(Event, Position)) error {
	file, err := os.Open(path)
	if err != nil {
		return ErrRead.Wrap(err)
	}
	defer file.Close()
	return Read(file, path, visit)
}

// readLine returns the next line with its end, valid until the next call. It
// allocates only for lines that are longer than the reader's buffer.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	rest, err := reader.ReadBytes('\n')
	return append(long, rest...), err
}
