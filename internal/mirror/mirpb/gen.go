// Package mirpb defines the gRPC service by which hosts share what they have read from the store.
package mirpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=github.com/tarragonspur/tarragonspur --go-grpc_out=../../.. --go-grpc_opt=module=github.com/tarragonspur/tarragonspur internal/mirror/mirpb/mirror.proto
