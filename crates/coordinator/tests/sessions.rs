//! Lives of gateways in the shared state.

use chalkdeck_coordinator::state::{Shared, TALLY};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use wire::command::What;

struct State(Shared, u64);

impl State {
    fn tell(&mut self, what: What) -> wire::Answer {
        self.1 += 1;
        self.0.apply(&wire::Command {
            caller: 1,
            number: self.1,
            what: Some(what),
            ..wire::Command::default()
        })
    }
    fn open(&mut self, incarnation: u64) -> wire::Answer {
        let (gateway, site) = ("g".to_string(), "north".to_string());
        self.tell(What::Open(wire::Open {
            gateway,
            site,
            incarnation,
            candidate: true,
        }))
    }
    fn lapse(&mut self, session: u64) {
        let renewed = self.0.session(session).expect("it stands").renewed;
        self.tell(What::Lapse(wire::Lapse { session, renewed }));
    }
    fn report(&mut self, session: u64, count: u64) {
        let line = wire::HitLine {
            customer: "c".into(),
            version: 1,
            rule: "r".into(),
            count,
        };
        self.tell(What::Report(wire::Report {
            session,
            number: count,
            hits: vec![line],
            ..Default::default()
        }));
    }
    fn fold(&mut self) {
        let token = self
            .0
            .duties()
            .find(|d| d.name == TALLY)
            .map_or(0, |d| d.token);
        self.tell(What::Fold(wire::Fold { token }));
    }
    fn hits(&self) -> u64 {
        self.0.hit_lines("c").iter().map(|l| l.count).sum()
    }
}

#[test]
fn hits_of_a_life_that_lapsed_and_goes_on_count_once_whatever_an_earlier_life_still_says() {
    let mut state = State(Shared::default(), 0);
    state.tell(What::Ensure(wire::Ensure { duty: TALLY.into() }));
    let other = wire::Open {
        gateway: "h".into(),
        site: "south".into(),
        incarnation: 5,
        candidate: true,
    };
    state.tell(What::Open(other));
    let first = state.open(20).id;
    state.report(first, 10);
    state.lapse(first);
    state.fold();
    assert_eq!(state.open(20).id, 3, "the same life is back");
    state.report(3, 12);
    state.lapse(3);
    // What an earlier life said was late on its way.
    let late = state.open(19);
    assert_eq!(
        (late.id, late.token),
        (0, 20),
        "refused, with the life that is known"
    );
    state.fold();
    let again = state.open(20).id;
    state.report(again, 15);
    assert_eq!(state.hits(), 15);
    // A later life's count is its own, and the earlier one's is folded.
    state.lapse(again);
    let later = state.open(30).id;
    state.fold();
    state.report(later, 4);
    assert_eq!(state.hits(), 19);
}
