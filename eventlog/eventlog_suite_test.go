package eventlog_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEventlog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eventlog")
}
