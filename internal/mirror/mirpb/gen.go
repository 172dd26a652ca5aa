// Package mirpb holds the messages by which hosts hand on what they have read of the store.
package mirpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=github.com/tarragonspur/tarragonspur --go-grpc_out=../../.. --go-grpc_opt=module=github.com/tarragonspur/tarragonspur internal/mirror/mirpb/mirror.proto
