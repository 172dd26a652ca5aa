// Package peerpb holds the messages between entry hosts, generated from the .proto files beside it.
package peerpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=github.com/tarragonspur/tarragonspur --go-grpc_out=../../.. --go-grpc_opt=module=github.com/tarragonspur/tarragonspur internal/peer/peerpb/peer.proto internal/peer/peerpb/member.proto internal/peer/peerpb/spread.proto internal/peer/peerpb/status.proto internal/peer/peerpb/grant.proto internal/peer/peerpb/share.proto internal/peer/peerpb/poison.proto
