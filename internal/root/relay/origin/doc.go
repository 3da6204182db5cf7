// Package origin remembers at which software version of an upstream each resumable stream began. What two versions write does not fit together, so a stream may continue only at the version that began it.
package origin
