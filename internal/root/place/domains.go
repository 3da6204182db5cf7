package place

// Domains holds the region of each failure domain.
type Domains map[string]string

// Region returns the region of a failure domain, or "" if it is not known.
func (d Domains) Region(domain string) string {
	return d[domain]
}
