package common

// MixBits applies the finalizer of SplitMix64, so that each bit of x affects all bits of the result.
func MixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
