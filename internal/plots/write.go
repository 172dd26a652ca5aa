package plots

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// write writes an image to a file.
func write(path string, image io.WriterTo) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create image file")
	}
	_, err = image.WriteTo(file)
	return errors.Wrapf(errors.CombineErrors(err, file.Close()), "write %s", path)
}
