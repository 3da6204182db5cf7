package common

// CompareBool orders false before true, as cmp.Compare does for other types.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
