// Package directory is the table of targets and replicas that every node keeps.
package directory
