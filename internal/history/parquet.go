package history

import (
	"fmt"
	"os"

	"github.com/parquet-go/parquet-go"
)

// temporarySuffix is appended to the name of the file that Write writes and then renames to the requested name.
const temporarySuffix = ".part"

// Write writes events to a file in the Parquet format. It writes a temporary file first and renames it, so that
// path never holds a part of the events.
func Write(path string, events []Event) error {
	temporary := path + temporarySuffix
	if err := parquet.WriteFile(temporary, events, parquet.Compression(&parquet.Zstd)); err != nil {
		os.Remove(temporary) //nolint:errcheck // the first error counts
		return fmt.Errorf("writing the history: %w", err)
	}
	return os.Rename(temporary, path)
}

// Read reads the events from a file that Write has written.
func Read(path string) ([]Event, error) {
	events, err := parquet.ReadFile[Event](path)
	if err != nil {
		return nil, fmt.Errorf("reading the history: %w", err)
	}
	return events, nil
}
