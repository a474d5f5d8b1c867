//! Tests of the deduplication of commands by caller and number in the replicated state.

use chalkdeck_coordinator::protocol::{wire, CommandKind, ResponseCode};
use chalkdeck_coordinator::state::{ReplicatedState, HIT_TOTALS_ELECTION};

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
