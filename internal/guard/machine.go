package guard

import (
	"os"
	"strconv"
	"strings"
	"syscall"
)

const (
	// fallbackMemory and fallbackDescriptors are taken for a machine that does not state what it has.
	fallbackMemory      = 256 << 20
	fallbackDescriptors = 1024
	// maxDescriptors stands for any number of descriptors above it.
	maxDescriptors = 1 << 20
	// reservedDescriptors is the number of descriptors for files and for connections to the platform and other hosts, at most a quarter of all.
	reservedDescriptors = 200
	// callersDescriptorShare is the share of the other descriptors for connections of callers. Each may need one more for its upstream.
	callersDescriptorShare = 0.4
	// probeDescriptorShare is the share of all descriptors for each listener that only answers probes, at most maxProbeConns.
	probeDescriptorShare = 1.0 / 16
	maxProbeConns        = 64
	// softMemoryShare is the share of the machine's memory above which garbage is collected more often.
	softMemoryShare = 0.7
)

// Machine is what the machine of a process has.
type Machine struct {
	// Memory is in bytes.
	Memory      int64
	Descriptors int
}

// MachineOf returns the machine with the given memory in MB and the given number of descriptors. For each that is 0 it takes what the machine states.
func MachineOf(memoryMB, descriptors int) Machine {
	m := Machine{
		Memory:      int64(memoryMB) * 1e6,
		Descriptors: descriptors,
	}
	if m.Memory == 0 {
		m.Memory = statedMemory()
	}
	if m.Descriptors == 0 {
		m.Descriptors = statedDescriptors()
	}
	return m
}

// CallerConns returns how many connections callers may hold.
func (m Machine) CallerConns() int {
	reserved := min(reservedDescriptors, m.Descriptors/4)
	return int(callersDescriptorShare * float64(m.Descriptors-reserved))
}

// ProbeConns returns how many connections a listener takes that only answers probes.
func (m Machine) ProbeConns() int {
	return min(maxProbeConns, int(probeDescriptorShare*float64(m.Descriptors)))
}

// SoftMemory returns the memory in bytes above which garbage is to be collected more often.
func (m Machine) SoftMemory() int64 {
	return int64(softMemoryShare * float64(m.Memory))
}

// statedMemory returns the memory that the machine states, in bytes.
func statedMemory() int64 {
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return fallbackMemory
	}
	_, rest, _ := strings.Cut(string(info), "MemTotal:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return fallbackMemory
	}
	kb, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil || kb <= 0 {
		return fallbackMemory
	}
	return kb << 10
}

// statedDescriptors returns the limit of the process.
func statedDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}
