package peer

import (
	"encoding/json"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/internal/strict"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// Service answers the calls of other routers.
type Service struct {
	Members     *membership.Members
	Budgets     *ledger.Ledger
	Endpoints   *placement.Endpoints
	Evacuations Evacuations // Nil if evacuations are off.
	Origins     *origin.Registry
	Versions    Versions                 // Nil if there is no record of versions.
	IsHome      func(budget string) bool // Reports whether this router holds grants of a budget ready.
}

// Answer handles a message and returns the encoded answer. If the path is not one of this package, known is false.
func (s *Service) Answer(path string, body []byte) (answer []byte, known bool, err error) {
	switch path {
	case ProbePath:
		answer, err = HandleMessage(body, func(m probeMessage) any { return s.answerProbe(time.Now(), m) })
	case RecallPath:
		answer, err = HandleMessage(body, func(m recallMessage) any {
			s.Budgets.AnswerRecall(m.Budget)
			return reply{true}
		})
	case RaisePath:
		answer, err = HandleMessage(body, func(m raiseMessage) any {
			// A later incarnation on the same VM must not answer for the witness.
			return reply{m.Raise.Witness == s.Members.Self().Name() && s.Budgets.AnswerRaise(m.Holder, m.Raise)}
		})
	case EntrustPath:
		answer, err = HandleMessage(body, func(account budget.OrphanedAccount) any {
			s.Budgets.Handle(time.Now(), account)
			return reply{true}
		})
	case ReservePath:
		answer, err = HandleMessage(body, func(loan ledger.Loan) any { return s.Budgets.Lend(loan, !s.IsHome(loan.Budget)) })
	case SettlePath:
		answer, err = HandleMessage(body, func(batch []ledger.Settlement) any {
			for _, m := range batch {
				s.Budgets.SettleLoan(m)
			}
			return reply{true}
		})
	case SuspectPath:
		answer, err = HandleMessage(body, func(messages []suspectMessage) any { return s.handleSuspects(time.Now(), messages) })
	case OriginsPath:
		answer, err = HandleMessage(body, func(origins []origin.Origin) any {
			s.Origins.Learn(time.Now(), origins)
			return reply{true}
		})
	case OriginPath:
		answer, err = HandleMessage(body, func(q originQuery) any { return s.answerOrigin(time.Now(), q) })
	default:
		return nil, false, nil
	}
	return answer, true, err
}

// answerProbe applies a peer's probe and answers with this router's updates, suspicions, limits and brittleness of endpoints, and evacuations.
func (s *Service) answerProbe(now time.Time, m probeMessage) probeMessage {
	safe := s.handleSuspects(now, m.Suspects)
	adoptLimits(now, s.Endpoints, m.Limits)
	adoptBrittle(now, s.Endpoints, m.Brittle)
	var known uint64
	if m.Evacuations != nil {
		known = m.Evacuations.Revision
		adoptEvacuations(now, s.Evacuations, m.Evacuations, senderOf(m.Updates))
	}
	return probeMessage{
		Updates:  s.Members.AnswerProbe(now, m.Updates),
		Suspects: blockedSuspects(now, s.Endpoints),
		Known:    safe,
		Limits:   limitMessages(now, s.Endpoints),
		Brittle:  brittleMessages(now, s.Endpoints),

		Evacuations: newEvacuationMessage(s.Evacuations, known),
	}
}

// senderOf returns the name of the router that sent updates: its own update comes first.
func senderOf(updates []fleet.Member) string {
	if len(updates) == 0 {
		return ""
	}
	return updates[0].Name()
}

// answerOrigin answers what this router knows of a stream and of the versions of its service.
func (s *Service) answerOrigin(now time.Time, q originQuery) originReply {
	o, known := s.Origins.Find(now, q.Stream)
	out := originReply{Origin: o, Known: known, SeveralVersions: s.Endpoints.HasSeveralVersions(q.Service)}
	if s.Versions != nil {
		view := s.Versions.View(now, q.Service)
		out.Versions = view.Versions
		out.AgeMilliseconds = view.Age.Milliseconds()
	}
	return out
}

// handleSuspects adopts a peer's suspicions and answers with those of the suspects that have finished at this router.
func (s *Service) handleSuspects(now time.Time, messages []suspectMessage) suspectReply {
	adoptSuspects(now, s.Endpoints, messages)
	reply := suspectReply{KnownSafe: []uint64{}}
	for _, m := range messages {
		switch {
		case !s.Endpoints.KnownSafe(m.Fingerprint, m.Part):
		case m.Part:
			reply.KnownSafeParts = append(reply.KnownSafeParts, m.Fingerprint)
		default:
			reply.KnownSafe = append(reply.KnownSafe, m.Fingerprint)
		}
	}
	return reply
}

// HandleMessage decodes a message, passes it to f and encodes the result of f.
func HandleMessage[M any](body []byte, f func(M) any) ([]byte, error) {
	var m M
	if err := strict.Decode(body, &m); err != nil {
		return nil, err
	}
	return json.Marshal(f(m))
}
