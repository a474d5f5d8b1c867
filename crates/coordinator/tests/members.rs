//! A replica that reads a configuration from another one.

use chalkdeck_coordinator::ids::Slot;
use chalkdeck_coordinator::log::ReplicaLog;
use chalkdeck_coordinator::protocol::{wire, ReadResponse};
use chalkdeck_coordinator::replica::{Output, Replica, ReplicaSettings, StartMode};
use chalkdeck_leader_election::LeaseTerms;
use chalkdeck_time::Timestamp;
use chalkdeck_wal::simulated_disk::SimulatedDisk;

const INCARNATION: u64 = 77;
const OWN_SLOT: u32 = 2;

/// A replica that asks the others for its place.
fn joining() -> Replica {
    let opened = ReplicaLog::open(SimulatedDisk::new(1), INCARNATION).expect("an empty log");
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
    .expect("it starts")
}

fn members(slots: [u32; 3]) -> ReadResponse {
    let member = |(place, slot): (usize, u32)| wire::Member {
        id: place as u64 + 1,
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

/// What happened: a replica took a configuration over whose member has the slot 0, and what it then sent to that member was looked up before
/// the first address, which ends a build with overflow checks. Why: slots of other replicas' answers were not checked, as those of settings
/// are. Shown by: messages to `Slot(0)` among the outputs.
#[test]
fn configuration_with_a_slot_that_is_none_is_ignored() {
    for slots in [[1, OWN_SLOT, 0], [1, OWN_SLOT, 4]] {
        let mut replica = joining();
        replica.receive_members(&members(slots));
        for millis in (20..3_000).step_by(20) {
            replica.advance_clock(Timestamp::from_millis(millis));
            replica.tick();
        }
        replica.end_turn();
        let wrong =
            |output: &Output| matches!(output, Output::Peer(slot, _) if !(1..=3).contains(&slot.0));
        assert!(!replica.take_outputs().iter().any(wrong), "{slots:?}");
        assert_eq!(replica.configuration(), 0, "{slots:?}: it is ignored");
    }
    let mut replica = joining();
    replica.receive_members(&members([1, OWN_SLOT, 3]));
    assert_eq!(replica.configuration(), 1, "a sound one is entered");
}
