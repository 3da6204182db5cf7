// Package bench measures what the path through a daemon costs against calling the upstream directly.
package bench
