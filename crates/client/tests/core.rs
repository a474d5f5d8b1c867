//! The core with simulated time.

use chalkdeck_client::core::{Action, AttemptOutcome, CallId, ClientCore, Event, GatewayId};
use chalkdeck_client::{Idempotency, Outcome, Settings, TimeDelta, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

const GATEWAY_COUNT: usize = 3;
const START: Timestamp = Timestamp::from_millis(1_000);
const SECOND: TimeDelta = TimeDelta::from_secs(1);

const fn millis(millis: u64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

fn rejected_with(retry_after: TimeDelta) -> AttemptOutcome {
    AttemptOutcome::Rejected {
        retry_after: Some(retry_after),
    }
}

/// An action and when the core requested it.
struct RecordedAction {
    at: Timestamp,
    action: Action,
}

/// A core with connected gateways, and a record of its actions.
struct Harness {
    core: ClientCore,
    now: Timestamp,
    recorded: Vec<RecordedAction>,
}

impl Harness {
    fn new(settings: Settings) -> Harness {
        let mut harness = Harness {
            core: ClientCore::new(settings).expect("valid settings"),
            now: START,
            recorded: Vec::new(),
        };
        harness.handle(Event::GatewaysListed {
            count: GATEWAY_COUNT,
        });
        for index in 0..GATEWAY_COUNT {
            let gateway = GatewayId(index);
            harness.handle(Event::Connected { gateway });
        }
        harness
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        let at = self.now;
        self.recorded
            .extend(actions.iter().map(|&action| RecordedAction { at, action }));
        actions
    }

    fn disconnect_all(&mut self) {
        for index in 0..GATEWAY_COUNT {
            let gateway = GatewayId(index);
            self.handle(Event::Disconnected { gateway });
        }
    }

    /// Advances the time, with a tick at every wake time.
    fn advance(&mut self, span: TimeDelta) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while let Some(at) = self.core.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::Tick));
        }
        self.now = end;
        actions
    }

    fn start_call(&mut self, id: u64, idempotency: Idempotency, timeout: TimeDelta) -> Vec<Action> {
        let deadline = self.now + timeout;
        self.handle(Event::CallStarted {
            call: CallId(id),
            idempotency,
            deadline,
        })
    }

    fn end_attempt(&mut self, id: u64, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            call: CallId(id),
            attempt,
            outcome,
        })
    }

    fn sent_attempts(&self) -> usize {
        let recorded = self.recorded.iter();
        recorded
            .filter(|recorded| is_send(&recorded.action))
            .count()
    }

    fn last_sent_at(&self) -> Option<Timestamp> {
        let mut newest_first = self.recorded.iter().rev();
        let sent = newest_first.find(|recorded| is_send(&recorded.action))?;
        Some(sent.at)
    }
}

fn is_send(action: &Action) -> bool {
    matches!(action, Action::SendAttempt { .. })
}

fn count_sends(actions: &[Action]) -> usize {
    actions.iter().filter(|action| is_send(action)).count()
}

fn outcome_in(actions: &[Action]) -> Option<Outcome> {
    actions.iter().find_map(|action| match action {
        Action::CompleteCall { outcome, .. } => Some(*outcome),
        _ => None,
    })
}

#[test]
fn attempt_ends_without_an_answer_then_idempotency_decides_whether_it_is_retried() {
    let keyed = Idempotency::Keyed {
        key_window: SECOND * 3,
    };
    let cases = [
        (Idempotency::Idempotent, AttemptOutcome::MayHaveRun, true),
        (
            Idempotency::NonIdempotent,
            AttemptOutcome::MayHaveRun,
            false,
        ),
        (
            Idempotency::NonIdempotent,
            AttemptOutcome::NotProcessed,
            true,
        ),
        (Idempotency::NonIdempotent, rejected_with(millis(10)), true),
        (keyed, AttemptOutcome::MayHaveRun, true),
    ];
    for (idempotency, outcome, is_retried) in cases {
        let mut harness = Harness::new(Settings::default());
        let sends = count_sends(&harness.start_call(1, idempotency, SECOND * 5));
        assert_eq!(sends, 1);
        let mut actions = harness.end_attempt(1, 0, outcome);
        actions.extend(harness.advance(SECOND * 2));
        assert_eq!(
            count_sends(&actions) == 1,
            is_retried,
            "{idempotency:?} {outcome:?}"
        );
        assert_eq!(outcome_in(&actions) == Some(Outcome::Failed), !is_retried);
    }
}

#[test]
fn key_window_ends_before_the_retry_then_the_call_fails() {
    let mut harness = Harness::new(Settings {
        initial_backoff: millis(400),
        max_backoff: millis(400),
        ..Settings::default()
    });
    let keyed = |key_window| Idempotency::Keyed { key_window };
    harness.start_call(1, keyed(millis(300)), SECOND * 5);
    let actions = harness.end_attempt(1, 0, AttemptOutcome::MayHaveRun);
    assert_eq!(
        outcome_in(&actions),
        Some(Outcome::Failed),
        "the backoff ends after the key window"
    );
    // The key window ends while no gateway is connected between two attempts.
    let mut harness = Harness::new(Settings::default());
    harness.start_call(2, keyed(millis(200)), SECOND * 5);
    harness.end_attempt(2, 0, AttemptOutcome::MayHaveRun);
    harness.disconnect_all();
    harness.advance(millis(250));
    let gateway = GatewayId(0);
    let actions = harness.handle(Event::Connected { gateway });
    assert_eq!(
        (count_sends(&actions), outcome_in(&actions)),
        (0, Some(Outcome::Failed))
    );
}

#[test]
fn calls_are_rejected_with_a_retry_time_then_retries_are_spread_after_it() {
    let mut delays = Vec::new();
    for seed in 0..200 {
        let mut harness = Harness::new(Settings {
            seed,
            ..Settings::default()
        });
        harness.start_call(1, Idempotency::Idempotent, SECOND * 5);
        harness.end_attempt(1, 0, rejected_with(SECOND));
        let rejected_at = harness.now;
        let just_before = SECOND - TimeDelta::from_micros(1);
        assert_eq!(
            count_sends(&harness.advance(just_before)),
            0,
            "a retry before the retry time"
        );
        assert_eq!(count_sends(&harness.advance(SECOND)), 1);
        let sent_at = harness.last_sent_at().expect("a sent attempt");
        delays.push(sent_at - rejected_at);
    }
    delays.sort_unstable();
    assert!(
        delays[0] >= SECOND
            && delays[199] <= millis(1_500)
            && delays[150] - delays[50] > millis(125),
        "{delays:?}"
    );
}

#[test]
fn retry_time_is_after_the_deadline_then_the_rejection_is_reported_at_once() {
    let retry_times = [SECOND * 2, SECOND * (365 * 86_400), TimeDelta::MAX];
    for retry_after in retry_times {
        let mut harness = Harness::new(Settings::default());
        harness.start_call(1, Idempotency::NonIdempotent, SECOND);
        let actions = harness.end_attempt(1, 0, rejected_with(retry_after));
        let retry_after = Some(retry_after);
        assert_eq!(
            outcome_in(&actions),
            Some(Outcome::Rejected { retry_after })
        );
    }
}

#[test]
fn earlier_attempt_may_have_run_then_the_call_is_not_reported_as_rejected() {
    let mut harness = Harness::new(Settings {
        max_attempts: 2,
        ..Settings::default()
    });
    let key_window = SECOND * 5;
    harness.start_call(1, Idempotency::Keyed { key_window }, SECOND * 5);
    harness.end_attempt(1, 0, AttemptOutcome::MayHaveRun);
    harness.advance(SECOND);
    let actions = harness.end_attempt(1, 1, rejected_with(millis(1)));
    assert_eq!(outcome_in(&actions), Some(Outcome::Failed));
}

#[test]
fn attempt_ends_at_the_deadline_then_the_deadline_is_exceeded() {
    for outcome in [
        AttemptOutcome::Answered,
        AttemptOutcome::Rejected { retry_after: None },
        AttemptOutcome::MayHaveRun,
    ] {
        let mut harness = Harness::new(Settings::default());
        harness.start_call(1, Idempotency::NonIdempotent, millis(100));
        // The response and the deadline fall into one turn of the event loop: the core handles the response first, but too late.
        harness.now = harness.now + millis(100);
        let actions = harness.end_attempt(1, 0, outcome);
        assert!(
            matches!(outcome_in(&actions), Some(Outcome::DeadlineExceeded { .. })),
            "{outcome:?}"
        );
        assert!(harness.advance(SECOND).is_empty());
    }
}

#[test]
fn call_is_cancelled_and_rejected_in_one_turn_then_it_ends_once() {
    let mut harness = Harness::new(Settings::default());
    let call = CallId(1);
    harness.start_call(1, Idempotency::Idempotent, SECOND);
    let actions = harness.handle(Event::CallCancelled { call });
    assert_eq!(outcome_in(&actions), Some(Outcome::Cancelled));
    assert!(actions.contains(&Action::CancelAttempt { call, attempt: 0 }));
    assert!(harness
        .end_attempt(1, 0, rejected_with(millis(1)))
        .is_empty());
    assert!(harness.advance(SECOND * 2).is_empty());
}

#[test]
fn no_gateway_is_connected_then_pending_calls_are_bounded_and_end_at_their_deadlines() {
    let mut harness = Harness::new(Settings {
        max_pending: 5,
        ..Settings::default()
    });
    harness.disconnect_all();
    let mut too_many = 0;
    for id in 0..8 {
        let actions = harness.start_call(id, Idempotency::Idempotent, SECOND);
        too_many += usize::from(outcome_in(&actions) == Some(Outcome::TooManyCalls));
    }
    assert_eq!(too_many, 3);
    // A clock that steps back has no effect.
    harness.now = harness.now - millis(500);
    harness.handle(Event::Tick);
    harness.now = harness.now + SECOND * 3;
    let actions = harness.handle(Event::Tick);
    let exceeded = Outcome::DeadlineExceeded {
        may_have_run: false,
    };
    let ended = actions.iter().filter(
        |action| matches!(action, Action::CompleteCall { outcome, .. } if *outcome == exceeded),
    );
    assert_eq!(ended.count(), 5);
}

/// An attempt in flight. Ordered by the time of its end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    ends_at: Timestamp,
    call: u64,
    attempt: u32,
}

/// Simulates clients during an outage of the servers.
#[derive(Default)]
struct Outage {
    attempts: u64,
    calls: u64,
    last_failure: Timestamp,
    in_flight: BinaryHeap<Reverse<InFlight>>,
}

impl Outage {
    const START: Timestamp = Timestamp::from_millis(11_000);
    const END: Timestamp = Timestamp::from_millis(21_000);

    fn record(&mut self, now: Timestamp, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::SendAttempt { call, attempt, .. } => {
                    self.attempts += 1;
                    let ends_at = now + millis(5);
                    let call = call.0;
                    self.in_flight.push(Reverse(InFlight {
                        ends_at,
                        call,
                        attempt,
                    }));
                }
                Action::CompleteCall { outcome, .. } => {
                    self.calls += 1;
                    if outcome != Outcome::Answered {
                        self.last_failure = self.last_failure.max(now);
                    }
                }
                _ => {}
            }
        }
    }

    /// The next attempt that has ended by `now`, and its outcome.
    fn next_end(&mut self, now: Timestamp) -> Option<(InFlight, AttemptOutcome)> {
        let Reverse(next) = self.in_flight.peek().copied()?;
        if next.ends_at > now {
            return None;
        }
        self.in_flight.pop();
        let is_down = (Outage::START..Outage::END).contains(&next.ends_at);
        let outcome = if is_down {
            AttemptOutcome::MayHaveRun
        } else {
            AttemptOutcome::Answered
        };
        Some((next, outcome))
    }

    fn run_client(&mut self, seed: u64) {
        let mut harness = Harness::new(Settings {
            seed,
            ..Settings::default()
        });
        self.in_flight.clear();
        for id in 0..1_500 {
            let mut actions = harness.start_call(id, Idempotency::Idempotent, SECOND);
            actions.extend(harness.advance(millis(20)));
            self.record(harness.now, &actions);
            while let Some((ended, outcome)) = self.next_end(harness.now) {
                let actions = harness.end_attempt(ended.call, ended.attempt, outcome);
                self.record(harness.now, &actions);
            }
        }
    }
}

#[test]
fn servers_fail_for_ten_seconds_then_retries_are_few_and_calls_succeed_soon_afterwards() {
    let mut outage = Outage::default();
    for seed in 0..50 {
        outage.run_client(seed);
    }
    let amplification = outage.attempts as f64 / outage.calls as f64;
    assert!(amplification <= 1.2, "{amplification}");
    assert!(
        outage.last_failure < Timestamp::from_millis(23_000),
        "calls fail until {:?}",
        outage.last_failure
    );
}

#[test]
fn ten_thousand_clients_lose_all_gateways_then_their_connects_are_spread() {
    const SLOTS: usize = 20;
    let window = SECOND * 2;
    let mut connects_by_slot = [0_u64; SLOTS];
    for seed in 0..10_000 {
        let mut harness = Harness::new(Settings {
            seed,
            initial_reconnect_window: window,
            max_reconnect_window: window,
            ..Settings::default()
        });
        harness.recorded.clear();
        harness.disconnect_all();
        let lost_at = harness.now;
        harness.advance(window);
        for recorded in &harness.recorded {
            if matches!(recorded.action, Action::Connect { .. }) {
                let slot = (recorded.at - lost_at).as_millis() / 100;
                connects_by_slot[(slot as usize).min(SLOTS - 1)] += 1;
            }
        }
    }
    let even_share = 30_000 / SLOTS as u64;
    assert_eq!(connects_by_slot.iter().sum::<u64>(), 30_000);
    assert!(
        connects_by_slot
            .iter()
            .all(|count| *count < even_share * 5 / 4),
        "{connects_by_slot:?}"
    );
}

/// Marks that an attempt may have run.
#[derive(Clone, Copy)]
struct MayHaveRun {
    /// The number of attempts that were sent until then.
    sent_attempts: u32,
}

/// Step kinds of the exhaustive test. Those below `STEP_DISCONNECT` are the outcomes of attempts.
const STEP_DISCONNECT: u32 = 5;
const STEP_CANCEL: u32 = 7;
const STEP_KINDS: u32 = 8;
const STEPS: u32 = 5;

/// Runs the sequence of steps that the base-8 digits of `code` select.
fn run_step_sequence(code: u32, idempotency: Idempotency) {
    let outcomes = [
        AttemptOutcome::Answered,
        rejected_with(millis(20)),
        AttemptOutcome::Rejected { retry_after: None },
        AttemptOutcome::NotProcessed,
        AttemptOutcome::MayHaveRun,
    ];
    let mut harness = Harness::new(Settings {
        retry_budget: 2.0,
        ..Settings::default()
    });
    harness.start_call(1, idempotency, millis(400));
    let deadline = harness.now + millis(400);
    let mut may_have_run = None;
    let mut ended = HashSet::new();
    let mut remaining = code;
    for _ in 0..STEPS {
        let sent = harness.sent_attempts() as u32;
        match remaining % STEP_KINDS {
            kind @ 0..STEP_DISCONNECT if sent > 0 => {
                let outcome = outcomes[kind as usize];
                // An attempt ends once. Later events for it must have no effect.
                let is_first = ended.insert(sent);
                if is_first && outcome == AttemptOutcome::MayHaveRun {
                    may_have_run.get_or_insert(MayHaveRun {
                        sent_attempts: sent,
                    });
                }
                harness.end_attempt(1, sent - 1, outcome);
            }
            STEP_DISCONNECT => {
                let gateway = GatewayId(0);
                harness.handle(Event::Disconnected { gateway });
            }
            STEP_CANCEL => {
                let call = CallId(1);
                harness.handle(Event::CallCancelled { call });
            }
            _ => {
                harness.advance(millis(90));
            }
        }
        remaining /= STEP_KINDS;
        assert!(harness.core.retry_budget() >= 0.0);
    }
    harness.advance(SECOND);
    check_guarantees(&harness, idempotency, deadline, may_have_run);
}

fn check_guarantees(
    harness: &Harness,
    idempotency: Idempotency,
    deadline: Timestamp,
    may_have_run: Option<MayHaveRun>,
) {
    let mut sent: BTreeMap<u32, Timestamp> = BTreeMap::new();
    let mut completed: HashMap<CallId, Outcome> = HashMap::new();
    for RecordedAction { at, action } in &harness.recorded {
        match action {
            Action::SendAttempt {
                attempt, time_left, ..
            } => {
                assert!(*at < deadline && *time_left == deadline - *at && completed.is_empty());
                assert!(
                    sent.insert(*attempt, *at).is_none(),
                    "an attempt was sent twice"
                );
                if let Some(earlier) =
                    may_have_run.filter(|earlier| *attempt >= earlier.sent_attempts)
                {
                    assert_ne!(
                        idempotency,
                        Idempotency::NonIdempotent,
                        "a non-idempotent call was sent again after attempt {} may have run",
                        earlier.sent_attempts
                    );
                }
            }
            Action::CompleteCall { call, outcome } => {
                assert!(
                    completed.insert(*call, *outcome).is_none(),
                    "a call was completed twice"
                );
            }
            _ => {}
        }
    }
    assert_eq!(completed.len(), 1, "the call was not completed");
    let invites_retry = matches!(
        completed.values().next(),
        Some(Outcome::Rejected { .. } | Outcome::NotSent)
    );
    assert!(
        !(invites_retry && may_have_run.is_some() && idempotency != Idempotency::Idempotent),
        "the outcome invites a new call, but an attempt may have run"
    );
}

/// Runs every sequence of `STEPS` steps and checks the guarantees of the core: each attempt is sent once, nothing is sent after the
/// deadline, each call has one outcome, and the retry budget is never below zero.
#[test]
fn every_short_step_sequence_is_run_then_all_guarantees_hold() {
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::Keyed {
            key_window: millis(150),
        },
        Idempotency::NonIdempotent,
    ];
    for code in 0..STEP_KINDS.pow(STEPS) {
        for idempotency in idempotencies {
            run_step_sequence(code, idempotency);
        }
    }
}
