package router

import (
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/pkg/answer"
	"github.com/foxtaillanding/foxtaillanding/pkg/bill"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// run carries a model request from arrival to its final piece.
func (r *Router) run(w *work) {
	defer close(w.pieces)
	defer func() {
		if problem := recover(); problem != nil {
			r.logPanic(w.id, problem)
			w.emit(piece{refused: refusal.New(refusal.Internal, "")})
		}
	}()
	refused := r.runKeyed(w)
	r.observe(w, refused)
	if refused != nil {
		w.emit(piece{refused: refused})
	}
}

func (r *Router) logPanic(request string, problem any) {
	r.log.Error("panic", zap.String("Request", request), zap.Any("Problem", problem), zap.Stack("Stack"))
}

// runKeyed attaches a request with an Idempotency-Key to earlier runs of the key at its home.
func (r *Router) runKeyed(w *work) *refusal.Error {
	if w.key == "" || w.stage == stageBudget {
		return r.runPaid(w)
	}
	if done, refused := r.runAtHome(w); done {
		return refused
	}
	decisions := r.bills.decisions.Open(w.id)
	defer r.bills.decisions.Close(w.id)
	r.bills.handle(time.Now(), bill.Began{Request: w.id, Key: w.key, BodyHash: w.bodyHash})
	for {
		select {
		case <-w.gone:
			return refusal.New(refusal.AnswerBroken, "the caller has gone")
		case decision := <-decisions:
			switch decision := decision.(type) {
			case bill.Start:
				return r.runFirst(w)
			case bill.Replay:
				return replay(w, decision.Answer)
			case bill.Refuse:
				return refusal.New(decision.Kind, "")
			}
		}
	}
}

// runFirst runs the first request of a key; it goes on when the caller has gone, since a retry will ask for the answer.
func (r *Router) runFirst(w *work) *refusal.Error {
	refused := r.runPaid(w)
	if refused != nil {
		r.bills.handle(time.Now(), bill.Failed{Request: w.id, Kind: refused.Kind})
		return refused
	}
	r.bills.handle(time.Now(), bill.Finished{Request: w.id, Answer: bill.Answer{
		Content:      string(w.content),
		Finish:       w.finish,
		PromptTokens: w.finalUsage().PromptTokens,
		OutputTokens: w.finalUsage().CompletionTokens,
	}})
	return nil
}

func replay(w *work, a bill.Answer) *refusal.Error {
	w.emit(piece{chunk: &answer.Chunk{Content: a.Content, Finish: a.Finish}})
	usage := chat.Usage{PromptTokens: a.PromptTokens, CompletionTokens: a.OutputTokens, TotalTokens: a.PromptTokens + a.OutputTokens}
	w.emit(piece{usage: &usage})
	return nil
}

// runAtHome forwards a keyed request to its home; done is false when this router is the home or stands in for it.
func (r *Router) runAtHome(w *work) (done bool, refused *refusal.Error) {
	if w.stage != stageEntry {
		return false, nil
	}
	home := bill.Home(w.key, r.members.aliveVMs())
	vm, ok := r.snapshot().tree.Fleet.VM(home)
	if !ok || home == r.cfg.VM {
		return false, nil
	}
	refused = r.forward(w, vm.Address, stageHome)
	if refused != nil && refused.Kind == refusal.Draining && !w.sent {
		return false, nil
	}
	return true, refused
}

// runPaid reserves the worst case and runs the request here or where the tokens are.
func (r *Router) runPaid(w *work) *refusal.Error {
	decisions := r.budgets.Decisions.Open(w.id)
	defer r.budgets.Decisions.Close(w.id)
	r.budgets.Handle(time.Now(), budget.Reserve{
		Request:   w.id,
		Budget:    w.caller.team.Budget,
		Tokens:    w.worstCase(),
		Deadline:  w.deadline,
		Forwarded: w.stage == stageBudget,
	})
	for decision := range decisions {
		switch decision := decision.(type) {
		case budget.Dispatch:
			refused := r.serve(w)
			r.settle(w)
			return refused
		case budget.Refuse:
			return refusal.New(decision.Kind, "budget "+w.caller.team.Budget)
		case budget.Forward:
			if done, refused := r.runAtPeerWithTokens(w, decision.Peer); done {
				return refused
			}
		}
	}
	return refusal.New(refusal.Internal, "no decision on the budget")
}

func (r *Router) runAtPeerWithTokens(w *work, peer string) (done bool, refused *refusal.Error) {
	address, ok := r.members.Address(peer)
	if ok {
		refused = r.forward(w, address, stageBudget)
	}
	notRun := !ok || (refused != nil && refused.Kind.Answer().Ran == refusal.NotRun && !w.sent)
	if notRun {
		r.budgets.Handle(time.Now(), budget.ForwardRefused{Request: w.id, Peer: peer})
		return false, nil
	}
	r.budgets.Handle(time.Now(), budget.ForwardTaken{Request: w.id})
	return true, refused
}

// settle bills the request once and tells the key's home.
func (r *Router) settle(w *work) {
	tokens := w.cost()
	r.budgets.Handle(time.Now(), budget.Settle{Request: w.id, Tokens: tokens})
	if w.key != "" && tokens > 0 {
		r.bills.report(bill.Billed{Key: w.key, Request: w.id, Budget: w.caller.team.Budget, Tokens: tokens})
	}
}

// serve runs the request on endpoints until its answer is whole or given up.
func (r *Router) serve(w *work) *refusal.Error {
	decisions := r.backends.decisions.Open(w.id)
	defer r.backends.decisions.Close(w.id)
	r.backends.handle(time.Now(), endpoint.Submitted{Request: endpoint.Request{
		ID:           w.id,
		Serves:       w.request.Model,
		Account:      w.caller.name(),
		Weight:       w.caller.account.Weight,
		Class:        w.caller.class(),
		PromptTokens: w.request.PromptBound(),
		OutputTokens: w.request.MaxTokens,
		Prefix:       w.request.Prefix(),
		Deadline:     w.deadline,
		Fingerprint:  w.bodyHash,
		Repeatable:   true,
	}})
	gone := w.gone
	for {
		select {
		case <-gone:
			if w.key == "" {
				r.backends.handle(time.Now(), endpoint.Withdrawn{ID: w.id})
				return refusal.New(refusal.AnswerBroken, "the caller has gone")
			}
			gone = nil // A keyed request goes on for the caller's retry.
		case decision := <-decisions:
			switch decision := decision.(type) {
			case endpoint.Refuse:
				return &refusal.Error{Kind: decision.Kind, After: decision.After}
			case endpoint.Send:
				if done, refused := r.tryEndpoint(w, decision); done {
					return refused
				}
			}
		}
	}
}

// tryEndpoint makes one attempt and asks for another one when the answer is not whole.
func (r *Router) tryEndpoint(w *work, send endpoint.Send) (done bool, refused *refusal.Error) {
	outcome, refused := r.attempt(w, send)
	r.log.Info("attempt",
		zap.String("Request", w.id), zap.String("Team", w.caller.team.Name), zap.String("Endpoint", send.Endpoint),
		zap.Int("Attempt", send.Attempt), zap.Stringer("Outcome", outcome), zap.Int("Chunks", w.assembler.Next()))
	r.backends.handle(time.Now(), endpoint.Ended{ID: w.id, Outcome: outcome, Tokens: int64(w.assembler.Next())})
	if refused != nil || outcome == endpoint.Finished || outcome == endpoint.Abandoned {
		r.backends.handle(time.Now(), endpoint.Withdrawn{ID: w.id})
		return true, refused
	}
	r.backends.handle(time.Now(), endpoint.Retried{ID: w.id})
	return false, nil
}
