// Package setpb defines the gRPC service by which hosts report the table that they have in force to each other.
package setpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=github.com/tarragonspur/tarragonspur --go-grpc_out=../../.. --go-grpc_opt=module=github.com/tarragonspur/tarragonspur internal/settle/setpb/settle.proto
