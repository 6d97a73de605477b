package measure_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/measure"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the table in CAPACITY.md")

func TestMeasure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "measure")
}

const (
	tableStart = "<!-- table: worked out from measurements/slopes.json -->\n"
	tableEnd   = "<!-- end of table -->"
)

var _ = Describe("the capacity page", func() {
	It("contains the table calculated from the recorded slopes", func() {
		data, err := os.ReadFile(filepath.Join("..", "docs", "measurements", "slopes.json"))
		Expect(err).NotTo(HaveOccurred())
		var s measure.Costs
		Expect(json.Unmarshal(data, &s)).To(Succeed())
		table := measure.CapacityTable(measure.Capacity(s))
		file := filepath.Join("..", "docs", "CAPACITY.md")
		page, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		before, rest, ok := strings.Cut(string(page), tableStart)
		Expect(ok).To(BeTrue())
		shown, after, ok := strings.Cut(rest, tableEnd)
		Expect(ok).To(BeTrue())
		if *rewrite {
			Expect(os.WriteFile(file, []byte(before+tableStart+table+tableEnd+after), 0o600)).To(Succeed())
			return
		}
		Expect(shown).To(Equal(table))
	})

	It("lists every figure that exceeds its bound before the first section", func() {
		data, err := os.ReadFile(filepath.Join("..", "docs", "measurements", "slopes.json"))
		Expect(err).NotTo(HaveOccurred())
		var s measure.Costs
		Expect(json.Unmarshal(data, &s)).To(Succeed())
		page, err := os.ReadFile(filepath.Join("..", "docs", "CAPACITY.md"))
		Expect(err).NotTo(HaveOccurred())
		top, _, ok := strings.Cut(string(page), "## ")
		Expect(ok).To(BeTrue())
		for _, f := range measure.Capacity(s) {
			if !f.Met {
				Expect(top).To(ContainSubstring(f.Role + ": " + f.Measure))
			}
		}
	})
})
