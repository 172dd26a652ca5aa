// Package astpb defines the gRPC service by which hosts end runs for each other.
package astpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=github.com/tarragonspur/tarragonspur --go-grpc_out=../../.. --go-grpc_opt=module=github.com/tarragonspur/tarragonspur internal/assist/astpb/assist.proto
