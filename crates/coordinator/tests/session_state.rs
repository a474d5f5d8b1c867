//! Tests of gateway incarnations in the replicated state.

use chalkdeck_coordinator::protocol::{wire, CommandKind, CommandResponse};
use chalkdeck_coordinator::state::{ReplicatedState, HIT_TOTALS_ELECTION};
use chalkdeck_leader_election::SessionId;

/// Submits numbered commands to a replicated state.
#[derive(Default)]
struct StateDriver {
    state: ReplicatedState,
    last_number: u64,
}

impl StateDriver {
    fn submit(&mut self, kind: CommandKind) -> CommandResponse {
        self.last_number += 1;
        self.state.apply(&wire::Command {
            caller: 1,
            number: self.last_number,
            kind: Some(kind),
            ..wire::Command::default()
        })
    }
    fn open_session(&mut self, incarnation: u64) -> CommandResponse {
        let (gateway, site) = ("g".to_string(), "north".to_string());
        self.submit(CommandKind::OpenSession(wire::OpenSession {
            gateway,
            site,
            incarnation,
            candidate: true,
        }))
    }
    fn expire_session(&mut self, session: u64) {
        let renewal_index = self
            .state
            .session(SessionId(session))
            .expect("the session is open")
            .renewal_index;
        self.submit(CommandKind::ExpireSession(wire::ExpireSession {
            session,
            renewal_index,
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
    fn fold_hits(&mut self) {
        let token = self
            .state
            .elections()
            .find(|election| election.name == HIT_TOTALS_ELECTION)
            .map_or(0, |election| election.token);
        self.submit(CommandKind::FoldHits(wire::FoldHits { token }));
    }
    fn hits(&self) -> u64 {
        self.state
            .hit_lines("c")
            .iter()
            .map(|line| line.count)
            .sum()
    }
}

#[test]
fn hits_of_a_reopened_incarnation_count_once_despite_delayed_messages_of_an_earlier_one() {
    let mut state = StateDriver::default();
    state.submit(CommandKind::EnsureElection(wire::EnsureElection {
        election: HIT_TOTALS_ELECTION.into(),
    }));
    // Gateway h opens its session first and leads the election, so that folds carry a valid token.
    let leader = wire::OpenSession {
        gateway: "h".into(),
        site: "south".into(),
        incarnation: 5,
        candidate: true,
    };
    state.submit(CommandKind::OpenSession(leader));
    let first = state.open_session(20).id;
    state.report(first, 10);
    state.expire_session(first);
    state.fold_hits();
    assert_eq!(
        state.open_session(20).id,
        3,
        "the same incarnation opens a new session"
    );
    state.report(3, 12);
    state.expire_session(3);
    // A delayed message of an earlier incarnation arrives.
    let delayed = state.open_session(19);
    assert_eq!(
        (delayed.id, delayed.token),
        (0, 20),
        "rejected with the known incarnation"
    );
    state.fold_hits();
    let reopened = state.open_session(20).id;
    state.report(reopened, 15);
    assert_eq!(state.hits(), 15);
    // A later incarnation has a count of its own, and the count of the earlier one is folded into the totals.
    state.expire_session(reopened);
    let later = state.open_session(30).id;
    state.fold_hits();
    state.report(later, 4);
    assert_eq!(state.hits(), 19);
}
