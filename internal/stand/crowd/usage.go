package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// errNoPeak reports a process whose peak of memory the system does not state.
var errNoPeak = errors.New("no peak of resident memory")

// PeakMemory returns the most memory that the process has held so far, in bytes.
func PeakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read status of process: %w", err)
	}
	_, rest, ok := strings.Cut(string(status), "VmHWM:")
	if !ok {
		return 0, fmt.Errorf("read status of process %d: %w", pid, errNoPeak)
	}
	kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse peak of memory: %w", err)
	}
	return kb << 10, nil
}

// Descriptors returns how many descriptors the process has open.
func Descriptors(pid int) (int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("list descriptors of process: %w", err)
	}
	return len(list), nil
}
