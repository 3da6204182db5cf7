package fanout

const (
	// smallDomain is the number of hosts of a failure domain below which each of them reads the store.
	smallDomain = 4
	// hostsPerFollower is the number of hosts of a failure domain for each further follower there, and maxFollowers bounds the followers of a domain.
	hostsPerFollower = 16
	maxFollowers     = 3
)

// Followers returns how many of the hosts of a failure domain read a table from the store.
func Followers(hosts int) int {
	if hosts < smallDomain {
		return hosts
	}
	return min(maxFollowers, 1+hosts/hostsPerFollower)
}
