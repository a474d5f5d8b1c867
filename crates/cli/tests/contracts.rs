//! Contracts of services over processes: what is spoken is known, a breaking version is rejected, and admission is serial.

mod fleet;

use chalkdeck_net::grpc::Code;
use fleet::{wait_for, Caller, Fleet};

const SERVICE: &str = "farm.v1.Farm";

/// A schema whose request has these fields, and the file that proposes it as a version.
fn version(fleet: &Fleet, name: &str, fields: &str, effect: &str) -> [String; 2] {
    let proto = format!(
        "syntax = \"proto3\"; package farm.v1; message Ask {{ {fields} }} message Told {{ int64 worth = 1; }}
         service Farm {{ rpc View(Ask) returns (Told); }}"
    );
    let promise = format!(
        "method: 'View' effect: {effect} group: ZONE window_ms: 3000 deadline_ms: 2000 units: 1 worth: 1"
    );
    let contract = format!("service: '{SERVICE}' version: '{name}' promises {{ {promise} }}");
    [
        fleet.write_file(&format!("v{name}.txtpb"), &contract),
        fleet.write_file(&format!("v{name}.proto"), &proto),
    ]
}

fn propose([contract, proto]: &[String; 2]) -> [&str; 7] {
    [
        "contract", "propose", contract, "--proto", proto, "--wait", "30",
    ]
}

#[test]
fn a_version_that_breaks_what_is_spoken_is_rejected_until_nobody_speaks_it() {
    let fleet = Fleet::start(3, 3);
    let one = version(&fleet, "1", "string field = 1; int32 acres = 2;", "KEYED");
    let moved = version(&fleet, "2", "string field = 3; int32 acres = 2;", "KEYED");
    let more = version(
        &fleet,
        "3",
        "string field = 1; int32 acres = 2; bool wet = 4;",
        "KEYED",
    );
    let unkeyed = version(&fleet, "4", "string field = 1; int32 acres = 2;", "UNSAFE");
    assert!(fleet.expect_success(&propose(&one)).contains("admitted"));
    // Nobody speaks it yet but one customer's word.
    fleet.expect_success(&[
        "contract",
        "subscribe",
        "estate-1",
        SERVICE,
        "1",
        "--repeats-ms",
        "2000",
    ]);
    let rejected = fleet.expect_failure(&propose(&moved));
    assert!(
        rejected.contains("rejected") && rejected.contains("estate-1"),
        "{rejected}"
    );
    assert!(
        rejected.contains("field") && rejected.contains("version 1"),
        "{rejected}"
    );
    assert!(
        fleet.expect_success(&propose(&more)).contains("admitted"),
        "a field more breaks nobody"
    );
    let repeats = fleet.expect_failure(&propose(&unkeyed));
    assert!(
        repeats.contains("View") && repeats.contains("estate-1"),
        "subscribers repeat: {repeats}"
    );

    let mut caller = Caller::new(fleet.grpc_address(1));
    calls_seen_by_gateways_count_as_use(&fleet, &mut caller, &moved);
    retired_version_that_is_called_again_counts_as_used(&fleet, &mut caller, &moved);
}

/// What gateways see counts as well as subscriptions, by customer, with its age.
fn calls_seen_by_gateways_count_as_use(fleet: &Fleet, caller: &mut Caller, moved: &[String; 2]) {
    fleet.expect_success(&["contract", "subscribe", "estate-1", SERVICE, "1", "--gone"]);
    caller.call(&[("x-customer", "seed-7"), ("x-protocol-version", "1")]);
    wait_for("the call was reported", || {
        fleet
            .expect_success(&["contract", "spoken", SERVICE])
            .contains("1 seed-7: seen, 1 calls")
            .then_some(())
    });
    let rejected = fleet.expect_failure(&propose(moved));
    assert!(
        rejected.contains("seed-7 (1 calls") && !rejected.contains("estate-1"),
        "{rejected}"
    );
}

/// A version that was retired no longer counts, until it is called again; that is shown in the status.
fn retired_version_that_is_called_again_counts_as_used(
    fleet: &Fleet,
    caller: &mut Caller,
    moved: &[String; 2],
) {
    fleet.expect_success(&["contract", "retire", SERVICE, "1"]);
    fleet.expect_success(&["contract", "retire", SERVICE, "3"]);
    assert!(fleet.expect_success(&propose(moved)).contains("admitted"));
    caller.call(&[("x-customer", "seed-7"), ("x-protocol-version", "1")]);
    wait_for("it is told to be back", || {
        fleet
            .expect_success(&["keeper", "status"])
            .contains("retired and called again: farm.v1.Farm 1")
            .then_some(())
    });
    let third = version(
        fleet,
        "5",
        "string field = 3; int32 acres = 2; bool wet = 5;",
        "KEYED",
    );
    assert!(
        fleet.expect_failure(&propose(&third)).contains("seed-7"),
        "and counts as spoken again"
    );
}

#[test]
fn the_examples_are_taken() {
    let fleet = Fleet::start(1, 1);
    let example = |name: &str| format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    let said = fleet.expect_success(&[
        "contract",
        "propose",
        &example("farm-1.txtpb"),
        "--proto",
        &example("farm.proto"),
        "--wait",
        "30",
    ]);
    assert!(said.contains("admitted"), "{said}");
    assert!(fleet
        .expect_success(&["rules", "apply", &example("rules.txtpb"), "--wait", "30"])
        .contains("in force"));
}

#[test]
fn of_two_texts_of_one_version_sound_alone_one_is_admitted() {
    let fleet = Fleet::start(3, 3);
    fleet.expect_success(&propose(&version(
        &fleet,
        "1",
        "string field = 1;",
        "KEYED",
    )));
    fleet.expect_success(&["contract", "subscribe", "a", SERVICE, "1"]);
    for round in 2..6 {
        let name = round.to_string();
        let first = version(&fleet, &name, "string field = 1; int32 acres = 2;", "KEYED");
        let second = version(
            &fleet,
            &name,
            "string field = 1; string acres = 2;",
            "KEYED",
        );
        // The second was written over the first: each gets files of its own.
        let apart = [format!("a{name}.proto"), format!("b{name}.proto")];
        let of = |fields: &str| {
            std::fs::read_to_string(fleet.dir.join(&first[1]))
                .expect("there")
                .replace("string acres", fields)
        };
        fleet.write_file(&apart[0], &of("int32 acres"));
        fleet.write_file(&apart[1], &of("string acres"));
        // Given to two keepers at once that do not hear each other at first.
        fleet.set_link_faults("from=k0&to=k1&both=1&cut=1");
        let mut children = [0, 1].map(|k| {
            let words = [
                "contract", "propose", &second[0], "--proto", &apart[k], "--wait", "30",
            ];
            fleet
                .command_to_replicas(&[k], &words)
                .spawn()
                .expect("it runs")
        });
        std::thread::sleep(std::time::Duration::from_millis(100));
        fleet.set_link_faults("heal=1");
        let ends: Vec<bool> = children
            .iter_mut()
            .map(|c| c.wait().expect("it ends").success())
            .collect();
        assert_eq!(
            ends.iter().filter(|e| **e).count(),
            1,
            "version {name}: {ends:?}"
        );
    }
}

#[test]
fn a_server_of_a_version_that_was_not_admitted_is_held_back_unless_there_is_no_other() {
    let mut fleet = Fleet::start(3, 1);
    fleet.expect_success(&propose(&version(
        &fleet,
        "1",
        "string field = 1;",
        "KEYED",
    )));
    let good = fleet.add_endpoint("farm.v1.Farm 1");
    let early = fleet.add_endpoint("farm.v1.Farm 2");
    wait_for("it is held back", || {
        fleet
            .coordinator_status(0)
            .filter(|s| s.held_back == [early.to_string()] && !s.is_last_resort)
    });
    let mut caller = Caller::new(fleet.grpc_address(0));
    wait_for("the other serves", || {
        (caller.call(&[("x-customer", "a")]).0 == Some(Code::Ok)).then_some(())
    });
    // Retired, the good one is not in service any more either: both are used.
    fleet.expect_success(&["contract", "retire", SERVICE, "1"]);
    fleet.expect_success(&["contract", "subscribe", "a", SERVICE, "9"]);
    let other = version(&fleet, "9", "string field = 1;", "KEYED");
    fleet.expect_success(&propose(&other));
    wait_for("the last resort", || {
        fleet
            .coordinator_status(0)
            .filter(|s| s.is_last_resort && s.held_back.is_empty())
    });
    assert_eq!(
        caller.call(&[("x-customer", "a")]).0,
        Some(Code::Ok),
        "{good} and {early} serve"
    );
    // Admitted later, it is put in service and the other is not.
    fleet.expect_success(&propose(&version(
        &fleet,
        "2",
        "string field = 1; int32 acres = 2;",
        "KEYED",
    )));
    wait_for("the admitted one alone serves", || {
        fleet
            .coordinator_status(0)
            .filter(|s| s.held_back == [good.to_string()] && !s.is_last_resort)
    });
}
