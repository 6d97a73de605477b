package hop_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHop(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hop")
}
