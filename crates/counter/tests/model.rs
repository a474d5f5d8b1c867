//! Model checking of one gateway, a network that loses, repeats and reorders messages, and the real [`CounterState`] with
//! crashes. Acknowledged increments are durable, each increment counts once, and totals never decrease.

use chalkdeck_counter::state::{CallerId, CounterState, Increment, Limits, NameId};
use chalkdeck_time::{TimeDelta, Timestamp};
use stateright::{Checker, Model, Property};

const INCREMENT_COUNT: u64 = 3;
const MAX_SENDS: u8 = 5;
const MAX_CRASHES: u8 = 2;
const NAME: NameId = NameId(1);
const NOW: Timestamp = Timestamp::from_micros(1);

/// The response to an increment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Response {
    number: u64,
    total: u64,
}

/// State of the model. An increment is represented by its number; totals follow from replaying the log with the real
/// [`CounterState`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SystemState {
    /// Requests in flight, delivered in any order; a repeated one is listed twice.
    requests: Vec<u64>,
    /// Responses in flight.
    responses: Vec<Response>,
    /// Durable records of the log.
    synced: Vec<u64>,
    /// Records that were written but not yet synced.
    unsynced: Vec<u64>,
    /// Responses that the gateway has received.
    acknowledged: Vec<Response>,
    sends: u8,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// The gateway sends an increment for the first time or again.
    Send {
        number: u64,
    },
    LoseRequest {
        index: usize,
    },
    Write {
        index: usize,
    },
    Sync,
    /// The counter crashes; the first `surviving` unsynced records survive.
    Crash {
        surviving: usize,
    },
    Receive {
        index: usize,
    },
    LoseResponse {
        index: usize,
    },
}

/// When the modelled counter acknowledges an increment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcknowledgementPolicy {
    AfterSync,
    /// A deliberate fault, to prove that the model detects it.
    BeforeSync,
}

struct CounterModel {
    acknowledgement_policy: AcknowledgementPolicy,
}

fn increment(number: u64) -> Increment {
    Increment {
        name: NAME,
        amount: 1.0,
        lifetime: TimeDelta::from_micros(u64::MAX / 2),
        caller: CallerId(9),
        number,
    }
}

fn replay(log: &[u64]) -> CounterState {
    let mut state = CounterState::new(Limits::default());
    for number in log {
        assert!(state.apply(NOW, &increment(*number)) > 0.0);
    }
    state
}

impl Model for CounterModel {
    type State = SystemState;
    type Action = Action;

    fn init_states(&self) -> Vec<SystemState> {
        vec![SystemState::default()]
    }

    fn actions(&self, state: &SystemState, actions: &mut Vec<Action>) {
        if state.sends < MAX_SENDS {
            actions.extend((1..=INCREMENT_COUNT).map(|number| Action::Send { number }));
        }
        for index in 0..state.requests.len() {
            actions.push(Action::LoseRequest { index });
            actions.push(Action::Write { index });
        }
        if !state.unsynced.is_empty() {
            actions.push(Action::Sync);
        }
        if state.crashes < MAX_CRASHES {
            let survivors = 0..=state.unsynced.len();
            actions.extend(survivors.map(|surviving| Action::Crash { surviving }));
        }
        for index in 0..state.responses.len() {
            actions.push(Action::Receive { index });
            actions.push(Action::LoseResponse { index });
        }
    }

    fn next_state(&self, state: &SystemState, action: Action) -> Option<SystemState> {
        let mut next = state.clone();
        match action {
            Action::Send { number } => next.send(number),
            Action::LoseRequest { index } => {
                next.requests.remove(index);
            }
            Action::Write { index } => {
                let number = next.requests.remove(index);
                next.unsynced.push(number);
                if self.acknowledgement_policy == AcknowledgementPolicy::BeforeSync {
                    next.respond_to_unsynced();
                }
            }
            Action::Sync => {
                next.respond_to_unsynced();
                next.synced.append(&mut next.unsynced);
            }
            Action::Crash { surviving } => next.crash(surviving),
            Action::Receive { index } => next.receive(index),
            Action::LoseResponse { index } => {
                next.responses.remove(index);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("acknowledged implies durable", |_, state: &SystemState| {
                let acknowledged = &state.acknowledged;
                acknowledged
                    .iter()
                    .all(|response| state.synced.contains(&response.number))
            }),
            Property::always("each increment counts once", |_, state: &SystemState| {
                let mut distinct = state.synced.clone();
                distinct.sort_unstable();
                distinct.dedup();
                replay(&state.synced).total(NAME).unwrap_or(0.0) == distinct.len() as f64
            }),
            Property::always("an increment gets one total", |_, state: &SystemState| {
                let pairs = state.acknowledged.windows(2);
                pairs
                    .into_iter()
                    .all(|pair| pair[0].number != pair[1].number)
            }),
            Property::always("totals never fall", |_, state: &SystemState| {
                let totals = state.acknowledged.iter().map(|response| response.total);
                let highest = totals.max().unwrap_or(0);
                replay(&state.synced).total(NAME).unwrap_or(0.0) >= highest as f64
            }),
            Property::sometimes(
                "all is acknowledged after crashes",
                |_, state: &SystemState| {
                    state.has_acknowledged_all() && state.crashes == MAX_CRASHES
                },
            ),
            Property::sometimes(
                "a repeated increment is acknowledged",
                |_, state: &SystemState| {
                    state.synced.len() > INCREMENT_COUNT as usize && state.has_acknowledged_all()
                },
            ),
        ]
    }
}

impl SystemState {
    fn has_acknowledged_all(&self) -> bool {
        self.acknowledged.len() == INCREMENT_COUNT as usize
    }

    fn send(&mut self, number: u64) {
        self.requests.push(number);
        self.requests.sort_unstable();
        self.sends += 1;
    }

    /// Responds to the unsynced records with totals of the real [`CounterState`].
    fn respond_to_unsynced(&mut self) {
        let mut state = replay(&self.synced);
        for number in self.unsynced.clone() {
            let total = state.apply(NOW, &increment(number)) as u64;
            let response = Response { number, total };
            if !self.responses.contains(&response) {
                self.responses.push(response);
            }
        }
        self.responses.sort_unstable();
    }

    fn crash(&mut self, surviving: usize) {
        self.synced.extend(&self.unsynced[..surviving]);
        self.unsynced.clear();
        self.requests.clear();
        self.responses.clear();
        self.crashes += 1;
    }

    fn receive(&mut self, index: usize) {
        let response = self.responses.remove(index);
        self.acknowledged.push(response);
        self.acknowledged.sort_unstable();
        self.acknowledged.dedup();
    }
}

#[test]
fn counter_responds_after_the_sync_then_all_properties_hold() {
    let model = CounterModel {
        acknowledgement_policy: AcknowledgementPolicy::AfterSync,
    };
    let checked = model.checker().threads(4).spawn_bfs().join();
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 50_000,
        "{} states",
        checked.unique_state_count()
    );
}

#[test]
fn counter_responds_before_the_sync_then_the_model_finds_a_violation() {
    let model = CounterModel {
        acknowledgement_policy: AcknowledgementPolicy::BeforeSync,
    };
    let checked = model.checker().threads(4).spawn_bfs().join();
    assert!(checked.discovery("acknowledged implies durable").is_some());
}
