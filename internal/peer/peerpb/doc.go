// Package peerpb defines the messages that entry instances exchange and their
// drpc services. All files but this one are generated from the .proto files by
// make generate.
package peerpb
