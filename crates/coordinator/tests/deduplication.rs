//! Tests of the deduplication of commands by caller and number in the replicated state.

use chalkdeck_coordinator::protocol::{wire, CommandKind, ResponseCode};
use chalkdeck_coordinator::state::{ReplicatedState, HIT_TOTALS_ELECTION, PROTOCOL_VERSION};

/// More callers than the replicated state keeps records of, which is 4,096.
const CALLERS: u64 = 4_200;

#[test]
fn first_command_of_a_new_caller_is_accepted_after_many_other_callers() {
    let mut state = ReplicatedState::default();
    for caller in 1..=CALLERS {
        let response = state.apply(&wire::Command {
            caller,
            number: 1,
            // What `CoordinatorClient::submit` sends.
            begun_version: 0,
            kind: Some(CommandKind::EnsureElection(wire::EnsureElection {
                election: HIT_TOTALS_ELECTION.into(),
            })),
            ..wire::Command::default()
        });
        assert_ne!(
            response.code(),
            ResponseCode::Forgotten,
            "the first command of caller {caller}, which was never applied, was rejected: {}",
            response.reason
        );
    }
}

fn command(caller: u64, number: u64, begun_version: u64, election: &str) -> wire::Command {
    wire::Command {
        caller,
        number,
        begun_version,
        kind: Some(CommandKind::EnsureElection(wire::EnsureElection {
            election: election.into(),
        })),
        ..wire::Command::default()
    }
}

/// Applies one command each of more callers than are remembered, which evicts the earlier ones.
fn evict_all(state: &mut ReplicatedState, first_caller: u64) {
    for caller in first_caller..first_caller + CALLERS {
        state.apply(&command(caller, 1, 0, HIT_TOTALS_ELECTION));
    }
}

/// A state as another replica restores it from a snapshot.
fn restored(state: &ReplicatedState) -> ReplicatedState {
    ReplicatedState::from_bytes(&state.to_bytes()).expect("a valid snapshot")
}

/// Guards against applying a command twice after its caller's record was evicted.
#[test]
fn command_of_an_evicted_caller_is_rejected_when_it_is_repeated() {
    const EVICTED: u64 = 5;
    let mut state = ReplicatedState::default();
    let first = command(EVICTED, 1, state.version, "one");
    state.apply(&first);
    let second = command(EVICTED, 2, state.version, "two");
    state.apply(&second);
    evict_all(&mut state, 100);
    for mut state in [restored(&state), state] {
        for repeated in [&first, &second] {
            let response = state.apply(repeated);
            assert_eq!(response.code(), ResponseCode::Forgotten);
        }
    }
}

/// Guards against rejecting a gateway for good once its record was evicted.
#[test]
fn evicted_caller_is_heard_again_with_a_command_that_it_begins_later() {
    const EVICTED: u64 = 5;
    let mut state = ReplicatedState::default();
    state.apply(&command(EVICTED, 1, state.version, "one"));
    evict_all(&mut state, 100);
    state.apply(&command(100 + CALLERS, 1, 0, "two"));
    for mut state in [restored(&state), state] {
        let version = state.version;
        let response = state.apply(&command(EVICTED, 2, version, "three"));
        assert_eq!(response.code(), ResponseCode::Done, "{}", response.reason);
    }
}

/// Guards against replicas that decide differently: as long as one of them has an earlier program, its rule applies.
#[test]
fn replica_with_an_earlier_program_then_its_rule_applies_until_all_have_this_one() {
    const FIRST_PROTOCOL_VERSION: u32 = 1;
    let mut state = ReplicatedState::default();
    let member = |id: u64| wire::Member {
        id,
        slot: id as u32,
        protocol_version: FIRST_PROTOCOL_VERSION,
        ..wire::Member::default()
    };
    state.begin_configuration(1, vec![member(1), member(2)]);
    evict_all(&mut state, 100);
    let newer_caller = 100 + 2 * CALLERS;
    let response = state.apply(&command(newer_caller, 1, 0, "one"));
    assert_eq!(response.code(), ResponseCode::Forgotten);
    for replica in [1, 2] {
        state.apply(&wire::Command {
            kind: Some(CommandKind::AnnounceVersion(wire::AnnounceVersion {
                replica,
                protocol_version: PROTOCOL_VERSION,
                ..wire::AnnounceVersion::default()
            })),
            ..wire::Command::default()
        });
    }
    let response = state.apply(&command(newer_caller + 1, 1, 0, "one"));
    assert_eq!(response.code(), ResponseCode::Done, "{}", response.reason);
    // A caller that may have been evicted under the earlier rule.
    let response = state.apply(&command(100, 1, 0, "one"));
    assert_eq!(response.code(), ResponseCode::Forgotten);
}
