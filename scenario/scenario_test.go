package scenario_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pearyard/pearyard/scenario"
)

func TestMain(m *testing.M) { testscript.Main(m, scenario.Programs()) }

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Setup:               scenario.Setup,
		Cmds:                scenario.Commands(),
		RequireUniqueNames:  true,
		RequireExplicitExec: true,
	})
}
