package configuration

import (
	"errors"
	"fmt"
	"strings"

	"nickelline/internal/fault"
)

// maxProblems bounds how many problems of a document are listed.
const maxProblems = 20

// problemCollector collects the problems that are found in a document.
type problemCollector struct {
	// withoutPaths leaves out the paths of problems. Building the paths costs more than reading the rest of the document.
	withoutPaths bool
	problems     []string
	// omitted counts the problems beyond maxProblems.
	omitted int
}

// add records a problem of the value at a path.
func (c *problemCollector) add(path, format string, arguments ...any) {
	if len(c.problems) == maxProblems {
		c.omitted++
		return
	}
	text := fmt.Sprintf(format, arguments...)
	if path != "" {
		text = path + ": " + text
	}
	c.problems = append(c.problems, text)
}

// error returns all problems as one error of kind fault.InvalidConfiguration, nil if there are none.
func (c *problemCollector) error() error {
	if len(c.problems) == 0 {
		return nil
	}
	problems := c.problems
	if c.omitted > 0 {
		problems = append(problems, fmt.Sprintf("and %d more", c.omitted))
	}
	return fault.Wrap(fault.InvalidConfiguration, &invalidError{problems: problems})
}

// invalidError lists the problems of a document or patch.
type invalidError struct{ problems []string }

func (e *invalidError) Error() string { return strings.Join(e.problems, "; ") }

// Problems returns the problems that an error of this package lists, the text of any other error, nil for no error.
func Problems(err error) []string {
	var listed *invalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &listed):
		return listed.problems
	}
	return []string{err.Error()}
}
