// Package peerpb holds the messages that entry instances send to each other
// and their drpc services. All but this file is generated from the .proto
// files by make generate.
package peerpb
