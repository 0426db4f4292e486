package node

import (
	"time"

	"github.com/sliplift/sliplift/internal/claim"
	"github.com/sliplift/sliplift/internal/configlog"
)

func claimViewOf(state *configlog.State) claim.View {
	view := claim.View{Revision: state.Claims.Revision, ConfirmedAt: time.Now()}
	for _, m := range state.Claims.Current {
		view.Members = append(view.Members, claim.Member(m))
	}
	return view
}
