// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Command floatconv lists the conversions of floating-point numbers to integers and durations that
// do not go through modules/saturate. It exits with 1 if there is one.
//
//	floatconv DIR
package main

import (
	"fmt"
	"go/ast"
	"go/types"
	"os"
	"path/filepath"

	"golang.org/x/tools/go/packages"
)

// exempt is the package that implements the checked conversions.
const exempt = "madderway/modules/saturate"

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: floatconv DIR")
		os.Exit(2)
	}
	found, err := check(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "floatconv:", err)
		os.Exit(2)
	}
	for _, line := range found {
		fmt.Println(line)
	}
	if len(found) > 0 {
		os.Exit(1)
	}
}

func check(dir string) ([]string, error) {
	mode := packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps
	loaded, err := packages.Load(&packages.Config{Mode: mode, Dir: dir}, "./core/...", "./models/...", "./modules/...", "./platform/...", "./services/...", "./handlers/...", "./router/...", "./client/...", "./cmd/madderway/...")
	if err != nil {
		return nil, err
	}
	if packages.PrintErrors(loaded) > 0 {
		return nil, fmt.Errorf("the packages in %s do not load", dir)
	}
	var found []string
	for _, p := range loaded {
		if p.PkgPath == exempt {
			continue
		}
		for _, file := range p.Syntax {
			found = append(found, conversions(p, dir, file)...)
		}
	}
	return found, nil
}

func conversions(p *packages.Package, dir string, file *ast.File) []string {
	var found []string
	ast.Inspect(file, func(n ast.Node) bool {
		if call, ok := n.(*ast.CallExpr); ok && convertsFloat(p.TypesInfo, call) {
			at := p.Fset.Position(call.Pos())
			name, err := filepath.Rel(dir, at.Filename)
			if err != nil {
				name = at.Filename
			}
			found = append(found, fmt.Sprintf("%s:%d: convert with modules/saturate", name, at.Line))
		}
		return true
	})
	return found
}

// convertsFloat reports whether a call converts a float that is not constant to an integer type.
func convertsFloat(info *types.Info, call *ast.CallExpr) bool {
	if len(call.Args) != 1 || !info.Types[call.Fun].IsType() {
		return false
	}
	to, from := info.Types[call.Fun], info.Types[call.Args[0]]
	return from.Value == nil && isBasic(to.Type, types.IsInteger) && isBasic(from.Type, types.IsFloat)
}

func isBasic(t types.Type, kind types.BasicInfo) bool {
	b, ok := t.Underlying().(*types.Basic)
	return ok && b.Info()&kind != 0
}
