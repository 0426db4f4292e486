package storeclient

import (
	"errors"
	"strconv"

	"github.com/sliplift/sliplift/internal/api"
)

// HasCode tells whether err is the service's definite answer with that code.
func HasCode(err error, code api.Code) bool {
	if errors.Is(err, ErrUncertain) {
		return false
	}
	var definite *api.Error
	return errors.As(err, &definite) && definite.Code == code
}

func formatVersion(version int64) string { return strconv.FormatInt(version, 10) }
