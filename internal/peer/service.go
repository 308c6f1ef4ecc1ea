package peer

import (
	"encoding/json"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/internal/strict"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// Service answers the other routers.
type Service struct {
	Members   *membership.Members
	Budgets   *ledger.Ledger
	Endpoints *placement.Endpoints
	IsHome    func(budget string) bool // Whether this router holds grants of a budget ready.
}

// Answer answers a message; known is false when the path is not one of this package.
func (s *Service) Answer(path string, body []byte) (answer []byte, known bool, err error) {
	switch path {
	case ProbePath:
		answer, err = answerTo(body, func(updates []fleet.Member) any { return s.Members.Answer(time.Now(), updates) })
	case RecallPath:
		answer, err = answerTo(body, func(m recallMessage) any {
			s.Budgets.AnswerRecall(m.Budget)
			return verdict{true}
		})
	case RaisePath:
		answer, err = answerTo(body, func(m raiseMessage) any {
			// A later incarnation must not answer for the one that is asked.
			return verdict{m.Raise.Witness == s.Members.Self().Name() && s.Budgets.AnswerRaise(m.Holder, m.Raise)}
		})
	case EntrustPath:
		answer, err = answerTo(body, func(left budget.OrphanedAccount) any {
			s.Budgets.Handle(time.Now(), left)
			return verdict{true}
		})
	case ReservePath:
		answer, err = answerTo(body, func(loan ledger.Loan) any { return s.Budgets.Lend(loan, !s.IsHome(loan.Budget)) })
	case SettlePath:
		answer, err = answerTo(body, func(m ledger.Settlement) any {
			s.Budgets.SettleLoan(m)
			return verdict{true}
		})
	case SuspectPath:
		answer, err = answerTo(body, func(messages []suspectMessage) any { return s.hearSuspects(time.Now(), messages) })
	default:
		return nil, false, nil
	}
	return answer, true, err
}

// hearSuspects takes a peer's suspicions over and returns those of requests that are known to be sound here.
func (s *Service) hearSuspects(now time.Time, messages []suspectMessage) acquittal {
	var asked []uint64
	for _, m := range messages {
		asked = append(asked, m.Fingerprint)
		until := now.Add(time.Duration(m.KeepMilliseconds) * time.Millisecond)
		s.Endpoints.Handle(now, endpoint.SuspectReported{Suspect: endpoint.Suspicion{Fingerprint: m.Fingerprint, Deaths: m.Deaths, Until: until}})
	}
	return acquittal{s.Endpoints.Sound(asked)}
}

// answerTo decodes a message, hands it to f and encodes what f returns.
func answerTo[M any](body []byte, f func(M) any) ([]byte, error) {
	var m M
	if err := strict.Decode(body, &m); err != nil {
		return nil, err
	}
	return json.Marshal(f(m))
}
