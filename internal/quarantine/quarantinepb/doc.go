// Package quarantinepb has the messages by which instances tell each other under which
// requests upstreams crash, generated from quarantine.proto.
package quarantinepb
