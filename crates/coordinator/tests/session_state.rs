//! Incarnations of gateways in the replicated state.

use chalkdeck_coordinator::protocol::{wire, CommandKind, CommandResponse};
use chalkdeck_coordinator::state::{ReplicatedState, HIT_TOTALS_ELECTION};
use chalkdeck_leader_election::SessionId;

/// A state with the number of its last command.
#[derive(Default)]
struct State {
    state: ReplicatedState,
    last_number: u64,
}

impl State {
    fn submit(&mut self, kind: CommandKind) -> CommandResponse {
        self.last_number += 1;
        self.state.apply(&wire::Command {
            caller: 1,
            number: self.last_number,
            kind: Some(kind),
            ..wire::Command::default()
        })
    }
    fn open(&mut self, incarnation: u64) -> CommandResponse {
        let (gateway, site) = ("g".to_string(), "north".to_string());
        self.submit(CommandKind::OpenSession(wire::OpenSession {
            gateway,
            site,
            incarnation,
            candidate: true,
        }))
    }
    fn expire(&mut self, session: u64) {
        let renewed = self
            .state
            .session(SessionId(session))
            .expect("it is open")
            .renewal_index;
        self.submit(CommandKind::ExpireSession(wire::ExpireSession {
            session,
            renewal_index: renewed,
        }));
    }
    fn report(&mut self, session: u64, count: u64) {
        let line = wire::HitLine {
            customer: "c".into(),
            version: 1,
            rule: "r".into(),
            count,
        };
        self.submit(CommandKind::Report(wire::Report {
            session,
            number: count,
            hits: vec![line],
            ..Default::default()
        }));
    }
    fn fold(&mut self) {
        let token = self
            .state
            .elections()
            .find(|election| election.name == HIT_TOTALS_ELECTION)
            .map_or(0, |d| d.token);
        self.submit(CommandKind::FoldHits(wire::FoldHits { token }));
    }
    fn hits(&self) -> u64 {
        self.state.hit_lines("c").iter().map(|l| l.count).sum()
    }
}

#[test]
fn hits_of_an_incarnation_that_expired_and_is_back_count_once_whatever_an_earlier_one_sends() {
    let mut state = State::default();
    state.submit(CommandKind::EnsureElection(wire::EnsureElection {
        election: HIT_TOTALS_ELECTION.into(),
    }));
    let other = wire::OpenSession {
        gateway: "h".into(),
        site: "south".into(),
        incarnation: 5,
        candidate: true,
    };
    state.submit(CommandKind::OpenSession(other));
    let first = state.open(20).id;
    state.report(first, 10);
    state.expire(first);
    state.fold();
    assert_eq!(state.open(20).id, 3, "the same incarnation is back");
    state.report(3, 12);
    state.expire(3);
    // A message of an earlier incarnation was delayed.
    let late = state.open(19);
    assert_eq!(
        (late.id, late.token),
        (0, 20),
        "rejected, with the incarnation that is known"
    );
    state.fold();
    let again = state.open(20).id;
    state.report(again, 15);
    assert_eq!(state.hits(), 15);
    // A later incarnation's count is its own, and the earlier one's is folded.
    state.expire(again);
    let later = state.open(30).id;
    state.fold();
    state.report(later, 4);
    assert_eq!(state.hits(), 19);
}
