//! Tests of a replica that joins with the configuration that another replica sends.

use chalkdeck_coordinator::ids::Slot;
use chalkdeck_coordinator::log::ReplicaLog;
use chalkdeck_coordinator::protocol::{wire, ReadResponse};
use chalkdeck_coordinator::replica::{Output, Replica, ReplicaSettings, StartMode};
use chalkdeck_leader_election::LeaseTerms;
use chalkdeck_time::Timestamp;
use chalkdeck_wal::simulated_disk::SimulatedDisk;

const INCARNATION: u64 = 77;
const OWN_SLOT: u32 = 2;

/// A replica with an empty disk that requests membership.
fn joining_replica() -> Replica {
    let opened = ReplicaLog::open(SimulatedDisk::new(1), INCARNATION).expect("an empty log opens");
    let settings = ReplicaSettings {
        slot: Slot(OWN_SLOT),
        replica_count: 3,
        lease_terms: LeaseTerms::default(),
        min_move_interval_ms: 3_000,
        unused_after_ms: 1_000_000,
        max_log_entries: 300,
        elections: Vec::new(),
        incarnation: INCARNATION,
        epoch: 1,
    };
    let now = Timestamp::from_millis(1);
    Replica::new(
        settings,
        opened.state,
        opened.position,
        StartMode::Join,
        now,
    )
    .expect("the replica starts")
}

fn configuration_response(slots: [u32; 3]) -> ReadResponse {
    let member = |(index, slot): (usize, u32)| wire::Member {
        id: index as u64 + 1,
        slot,
        incarnation: if slot == OWN_SLOT { INCARNATION } else { 5 },
        ..wire::Member::default()
    };
    ReadResponse {
        configuration: 1,
        members: slots.into_iter().enumerate().map(member).collect(),
        ..ReadResponse::default()
    }
}

/// Guards against entering a configuration with a slot outside the address list. A replica that accepted slot 0 from another
/// replica's response sent messages to `Slot(0)`; the lookup of their address underflowed, which panics with overflow checks. Slots
/// in responses were not validated as those in settings are.
#[test]
fn configuration_with_an_invalid_slot_is_ignored() {
    for slots in [[1, OWN_SLOT, 0], [1, OWN_SLOT, 4]] {
        let mut replica = joining_replica();
        replica.receive_members(&configuration_response(slots));
        for millis in (20..3_000).step_by(20) {
            replica.advance_clock(Timestamp::from_millis(millis));
            replica.tick();
        }
        replica.end_turn();
        let is_to_invalid_slot =
            |output: &Output| matches!(output, Output::Peer(slot, _) if !(1..=3).contains(&slot.0));
        assert!(
            !replica.take_outputs().iter().any(is_to_invalid_slot),
            "{slots:?}"
        );
        assert_eq!(
            replica.configuration(),
            0,
            "{slots:?}: the configuration is ignored"
        );
    }
    let mut replica = joining_replica();
    replica.receive_members(&configuration_response([1, OWN_SLOT, 3]));
    assert_eq!(
        replica.configuration(),
        1,
        "a valid configuration is entered"
    );
}
