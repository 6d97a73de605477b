package exchange_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A listener without a bound on its writes let silent connections keep the slots of targets for good.
var _ = Describe("the packages of a node on the platform", func() {
	// unbounded are functions and clients that wait for the other side as long as it likes.
	unbounded := map[string]bool{"net.Listen": true, "net.ListenTCP": true, "net.Dial": true, "net.DialTCP": true, "http.Get": true, "http.Post": true,
		"http.Head": true, "http.PostForm": true, "http.DefaultClient": true, "http.ListenAndServe": true, "http.Serve": true}
	It("open no connection without a bound, but for the listener that adds one", func() {
		var found []string
		for _, pkg := range []string{"agent", "dispatch", "exchange", "feed", "gate", "hop", "lifecycle", "member", "platform"} {
			files, err := filepath.Glob(filepath.Join("..", pkg, "*.go"))
			Expect(err).NotTo(HaveOccurred())
			Expect(files).NotTo(BeEmpty(), pkg)
			for _, file := range files {
				if strings.HasSuffix(file, "_test.go") {
					continue
				}
				set := token.NewFileSet()
				f, err := parser.ParseFile(set, file, nil, 0)
				Expect(err).NotTo(HaveOccurred())
				ast.Inspect(f, func(n ast.Node) bool {
					s, ok := n.(*ast.SelectorExpr)
					if !ok {
						return true
					}
					if x, ok := s.X.(*ast.Ident); ok && unbounded[x.Name+"."+s.Sel.Name] {
						found = append(found, filepath.ToSlash(file)+" "+x.Name+"."+s.Sel.Name)
					}
					return true
				})
			}
		}
		Expect(found).To(ConsistOf("../exchange/listen.go net.Listen"))
	})
})
