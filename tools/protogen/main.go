// Command protogen compiles the .proto files given as arguments and writes the .pb.go file of each beside it, with the plugin
// protoc-gen-go. It does not need protoc, so a machine that has only Go can check the generated code.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: protogen <path of protoc-gen-go> <file.proto>...")
		os.Exit(2)
	}
	for _, path := range os.Args[2:] {
		if err := generate(context.Background(), os.Args[1], path); err != nil {
			fmt.Fprintf(os.Stderr, "protogen: %s: %v\n", path, err)
			os.Exit(1)
		}
	}
}

// generate writes the Go code of one .proto file. Imports are resolved relative to the directory of the file.
func generate(ctx context.Context, plugin, path string) error {
	dir, name := filepath.Split(path)
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{dir}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(ctx, name)
	if err != nil {
		return err
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(files[0])},
	}
	response, err := runPlugin(ctx, plugin, request)
	if err != nil {
		return err
	}
	for _, file := range response.GetFile() {
		if err := os.WriteFile(filepath.Join(dir, file.GetName()), []byte(file.GetContent()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func runPlugin(ctx context.Context, plugin string, request *pluginpb.CodeGeneratorRequest) (*pluginpb.CodeGeneratorResponse, error) {
	input, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	command := exec.CommandContext(ctx, plugin)
	command.Stdin = bytes.NewReader(input)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return nil, err
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(output, response); err != nil {
		return nil, err
	}
	if response.Error != nil {
		return nil, fmt.Errorf("protoc-gen-go: %s", response.GetError())
	}
	return response, nil
}
