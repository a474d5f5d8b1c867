//! Model checking of leader election with the real lease, failure detector and fencing guard. The model has a first leader that may
//! stall at any step, its successor, one replica, one resource, and clocks that run at different rates. Further tests disable one
//! safeguard each and check which property the model checker finds violated.

use chalkdeck_leader_election::{
    FailureDetector, FencingGuard, FencingToken, Lease, LeaseTerms, SessionId, SessionRenewal,
};
use chalkdeck_time::{TimeDelta, Timestamp};
use stateright::{Checker, Model, Property};

/// A lease of four ticks of an exact clock, and a drift of a quarter. Small, so that the checker can visit all interleavings.
const TERMS: LeaseTerms = LeaseTerms {
    lease: TimeDelta::from_micros(400),
    drift_ppm: 250_000,
};
/// The number of ticks after which the model's time no longer advances.
const LAST_TICK: u64 = 9;
/// The session of the first leader.
const FIRST_SESSION: SessionId = SessionId(1);
/// Tokens of the first leader and of its successor.
const FIRST_TOKEN: u64 = 1;
const SUCCESSOR_TOKEN: u64 = 2;
/// Names of the checked properties.
const OPERATIONS_IN_ORDER: &str = "operations are executed in the order of their tokens";
const ONE_LEADER: &str = "no two gateways consider themselves the leader at the same time";

/// The safeguard that a run disables. Each variant describes the behavior without the safeguard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisabledSafeguard {
    None,
    /// The resource does not compare tokens.
    FencingGuard,
    /// The leader acts without checking its lease.
    LeaseCheck,
    /// The leader times its lease from the arrival of the grant instead of the sending of the renewal.
    LeaseFromSendTime,
    /// The replica's expiry timeout has no margin for clock drift over the leader's lease.
    ExpiryMargin,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentRenewal {
    number: u64,
    sent_at: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Elapsed ticks.
    tick: u64,
    /// The leader's clock is as slow, and the replica's as fast, as the terms allow; otherwise both are exact.
    has_clock_drift: bool,
    /// The first leader: its renewals, its lease, its token, and whether it has checked its lease and is about to act.
    sent_renewals: Vec<SentRenewal>,
    last_renewal_number: u64,
    lease_expires_at: Option<Timestamp>,
    token: u64,
    is_about_to_act: bool,
    /// Renewals in flight to the replica, and grants in flight to the leader.
    renewals_in_flight: Vec<u64>,
    grants_in_flight: Vec<u64>,
    /// The replica: when it last applied a renewal, which one that was, and the token of the current leader.
    applied_at: Option<Timestamp>,
    last_applied_renewal: u64,
    current_token: u64,
    /// Whether the successor has sent its operation.
    has_successor_acted: bool,
    /// Tokens of the operations in flight to the resource, the largest token that the resource has seen, and the tokens of the
    /// operations that it has executed, in order.
    operations_in_flight: Vec<u64>,
    highest_seen: u64,
    executed: Vec<u64>,
    /// The lease of the first leader was still valid when its successor could already act.
    had_two_leaders: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    SendRenewal,
    DeliverRenewal,
    DeliverGrant,
    LoseRenewal,
    /// The leader checks its lease and is about to act.
    CheckLease,
    /// The leader acts on that check; it may have stalled in between.
    Act,
    ExpireSession,
    SuccessorActs,
    DeliverOperation(usize),
}

impl State {
    fn initial(has_clock_drift: bool) -> State {
        State {
            tick: 0,
            has_clock_drift,
            sent_renewals: Vec::new(),
            last_renewal_number: 0,
            lease_expires_at: None,
            token: FIRST_TOKEN,
            is_about_to_act: false,
            renewals_in_flight: Vec::new(),
            grants_in_flight: Vec::new(),
            applied_at: Some(Timestamp::ZERO),
            last_applied_renewal: 0,
            current_token: FIRST_TOKEN,
            has_successor_acted: false,
            operations_in_flight: Vec::new(),
            highest_seen: 0,
            executed: Vec::new(),
            had_two_leaders: false,
        }
    }
    fn leader_clock(&self) -> Timestamp {
        Timestamp::from_micros(self.tick * if self.has_clock_drift { 75 } else { 100 })
    }
    fn replica_clock(&self) -> Timestamp {
        Timestamp::from_micros(self.tick * if self.has_clock_drift { 125 } else { 100 })
    }
    /// Rebuilds the leader's lease through the public API, from one renewal sent at the time that gives the same expiry.
    fn lease(&self) -> Lease {
        let mut lease = Lease::new(TERMS);
        if let Some(expires_at) = self.lease_expires_at {
            let number = lease.start_renewal(expires_at - TERMS.holder_lease());
            lease.record_grant(number);
        }
        lease
    }
    fn is_lease_valid(&self) -> bool {
        self.lease().is_valid(self.leader_clock())
    }

    fn send_renewal(&mut self) {
        self.last_renewal_number += 1;
        self.sent_renewals.push(SentRenewal {
            number: self.last_renewal_number,
            sent_at: self.leader_clock(),
        });
        self.renewals_in_flight.push(self.last_renewal_number);
    }
    fn deliver_renewal(&mut self) {
        let number = self.renewals_in_flight.remove(0);
        // An expired session gets no further grants.
        if self.current_token == FIRST_TOKEN {
            self.applied_at = Some(self.replica_clock());
            self.last_applied_renewal = number;
            self.grants_in_flight.push(number);
        }
    }
    fn deliver_grant(&mut self, disabled: DisabledSafeguard) -> Option<()> {
        let number = self.grants_in_flight.remove(0);
        let renewal = self.sent_renewals.iter().find(|r| r.number == number)?;
        let lease_start = if disabled == DisabledSafeguard::LeaseFromSendTime {
            self.leader_clock()
        } else {
            renewal.sent_at
        };
        let mut lease = Lease::new(TERMS);
        let renewal = lease.start_renewal(lease_start);
        lease.record_grant(renewal);
        self.lease_expires_at = self.lease_expires_at.max(lease.expires_at());
        Some(())
    }
    fn check_lease(&mut self, disabled: DisabledSafeguard) -> Option<()> {
        self.is_about_to_act = disabled == DisabledSafeguard::LeaseCheck || self.is_lease_valid();
        self.is_about_to_act.then_some(())
    }
    fn expire_session(&mut self, disabled: DisabledSafeguard) -> Option<()> {
        let last = SessionRenewal {
            session: FIRST_SESSION,
            log_index: self.last_applied_renewal,
        };
        let mut detector = FailureDetector::new(TERMS);
        detector.record_renewal(last, self.applied_at?);
        let mut now = self.replica_clock();
        if disabled == DisabledSafeguard::ExpiryMargin {
            now = now + (TERMS.expiry_timeout() - TERMS.holder_lease()) * 2;
        }
        if !detector.expired(now).contains(&last) {
            return None;
        }
        self.current_token = SUCCESSOR_TOKEN;
        self.had_two_leaders |= self.is_lease_valid();
        Some(())
    }
    fn deliver_operation(&mut self, index: usize, disabled: DisabledSafeguard) {
        let token = self.operations_in_flight.remove(index);
        let mut guard = FencingGuard::with_highest_seen(FencingToken(self.highest_seen));
        let admitted = guard.check(FencingToken(token)).is_ok();
        if admitted || disabled == DisabledSafeguard::FencingGuard {
            self.executed.push(token);
        }
        self.highest_seen = guard.highest_seen().0;
    }
}

struct ElectionModel(DisabledSafeguard);

impl Model for ElectionModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State::initial(false), State::initial(true)]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.tick < LAST_TICK {
            steps.push(Step::Tick);
        }
        if state.last_renewal_number < 2 && state.renewals_in_flight.is_empty() {
            steps.push(Step::SendRenewal);
        }
        if !state.renewals_in_flight.is_empty() {
            steps.extend([Step::DeliverRenewal, Step::LoseRenewal]);
        }
        if !state.grants_in_flight.is_empty() {
            steps.push(Step::DeliverGrant);
        }
        if state.is_about_to_act {
            steps.push(Step::Act);
        } else if state.operations_in_flight.is_empty() && state.executed.len() < 2 {
            steps.push(Step::CheckLease);
        }
        if state.current_token == FIRST_TOKEN && state.applied_at.is_some() {
            steps.push(Step::ExpireSession);
        }
        if state.current_token == SUCCESSOR_TOKEN && !state.has_successor_acted {
            steps.push(Step::SuccessorActs);
        }
        steps.extend((0..state.operations_in_flight.len()).map(Step::DeliverOperation));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick => state.tick += 1,
            Step::SendRenewal => state.send_renewal(),
            Step::LoseRenewal => {
                state.renewals_in_flight.remove(0);
            }
            Step::DeliverRenewal => state.deliver_renewal(),
            Step::DeliverGrant => state.deliver_grant(self.0)?,
            Step::CheckLease => state.check_lease(self.0)?,
            Step::Act => {
                state.is_about_to_act = false;
                state.operations_in_flight.push(state.token);
            }
            Step::ExpireSession => state.expire_session(self.0)?,
            Step::SuccessorActs => {
                state.has_successor_acted = true;
                state.operations_in_flight.push(SUCCESSOR_TOKEN);
            }
            Step::DeliverOperation(index) => state.deliver_operation(index, self.0),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(OPERATIONS_IN_ORDER, |_, state: &State| {
                state.executed.is_sorted()
            }),
            Property::always(ONE_LEADER, |_, state: &State| !state.had_two_leaders),
            Property::sometimes("the session expires", |_, state: &State| {
                state.current_token == SUCCESSOR_TOKEN
            }),
            Property::sometimes("both leaders act", |_, state: &State| {
                state.executed == [FIRST_TOKEN, SUCCESSOR_TOKEN]
            }),
        ]
    }
}

fn violated_property(disabled: DisabledSafeguard) -> Option<&'static str> {
    let model = ElectionModel(disabled);
    let checker = model.checker().threads(2).spawn_bfs().join();
    [OPERATIONS_IN_ORDER, ONE_LEADER]
        .into_iter()
        .find(|name| checker.discovery(name).is_some())
}

#[test]
fn with_all_safeguards_operations_stay_in_order_and_one_gateway_leads() {
    let model = ElectionModel(DisabledSafeguard::None);
    let checker = model.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 10_000,
        "{}",
        checker.unique_state_count()
    );
}

#[test]
fn without_the_fencing_guard_a_stalled_leader_acts_after_its_successor() {
    assert_eq!(
        violated_property(DisabledSafeguard::FencingGuard),
        Some(OPERATIONS_IN_ORDER)
    );
}

#[test]
fn without_a_lease_safeguard_the_fencing_guard_alone_keeps_operations_in_order() {
    // With the fencing guard in place, a leader that does not check its lease cannot break the order of operations. The lease is
    // what makes overlapping leaders rare.
    assert_eq!(violated_property(DisabledSafeguard::LeaseCheck), None);
    assert_eq!(
        violated_property(DisabledSafeguard::LeaseFromSendTime),
        Some(ONE_LEADER)
    );
    assert_eq!(
        violated_property(DisabledSafeguard::ExpiryMargin),
        Some(ONE_LEADER)
    );
}
