//! Contracts of services, with processes: gateways report which versions are in use, an incompatible version is rejected, and proposals are
//! judged one at a time.

mod fleet;

use chalkdeck_net::grpc::Code;
use fleet::{wait_for, Caller, Fleet};

const SERVICE: &str = "farm.v1.Farm";

/// Writes the contract of a version and its schema, whose request message has these fields. Returns both files.
fn write_version(fleet: &Fleet, name: &str, fields: &str, effect: &str) -> [String; 2] {
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

fn propose_args([contract, proto]: &[String; 2]) -> [&str; 7] {
    [
        "contract", "propose", contract, "--proto", proto, "--wait", "30",
    ]
}

#[test]
fn a_version_incompatible_with_one_in_use_is_rejected_until_that_is_no_longer_used() {
    let fleet = Fleet::start(3, 3);
    let first = write_version(&fleet, "1", "string field = 1; int32 acres = 2;", "KEYED");
    let with_moved_field =
        write_version(&fleet, "2", "string field = 3; int32 acres = 2;", "KEYED");
    let with_added_field = write_version(
        &fleet,
        "3",
        "string field = 1; int32 acres = 2; bool wet = 4;",
        "KEYED",
    );
    let with_unsafe_effect =
        write_version(&fleet, "4", "string field = 1; int32 acres = 2;", "UNSAFE");
    assert!(fleet
        .expect_success(&propose_args(&first))
        .contains("admitted"));
    // No calls use the version yet, but one customer subscribes to it.
    fleet.expect_success(&[
        "contract",
        "subscribe",
        "estate-1",
        SERVICE,
        "1",
        "--repeats-ms",
        "2000",
    ]);
    let rejected = fleet.expect_failure(&propose_args(&with_moved_field));
    assert!(
        rejected.contains("rejected") && rejected.contains("estate-1"),
        "{rejected}"
    );
    assert!(
        rejected.contains("field") && rejected.contains("version 1"),
        "{rejected}"
    );
    assert!(
        fleet
            .expect_success(&propose_args(&with_added_field))
            .contains("admitted"),
        "an added field is compatible"
    );
    let error = fleet.expect_failure(&propose_args(&with_unsafe_effect));
    assert!(
        error.contains("View") && error.contains("estate-1"),
        "a subscriber retries calls: {error}"
    );

    let mut caller = Caller::new(fleet.grpc_address(1));
    calls_seen_by_gateways_count_as_use(&fleet, &mut caller, &with_moved_field);
    retired_version_that_is_called_again_counts_as_used(&fleet, &mut caller, &with_moved_field);
}

/// A version is in use by the customers that call it, as gateways report, as well as by those that subscribe to it.
fn calls_seen_by_gateways_count_as_use(
    fleet: &Fleet,
    caller: &mut Caller,
    with_moved_field: &[String; 2],
) {
    fleet.expect_success(&["contract", "subscribe", "estate-1", SERVICE, "1", "--gone"]);
    caller.call(&[("x-customer", "seed-7"), ("x-protocol-version", "1")]);
    wait_for("the gateway reported the call", || {
        fleet
            .expect_success(&["contract", "spoken", SERVICE])
            .contains("1 seed-7: seen, 1 calls")
            .then_some(())
    });
    let rejected = fleet.expect_failure(&propose_args(with_moved_field));
    assert!(
        rejected.contains("seed-7 (1 calls") && !rejected.contains("estate-1"),
        "{rejected}"
    );
}

/// A retired version is no longer in use until it is called again, which the status shows.
fn retired_version_that_is_called_again_counts_as_used(
    fleet: &Fleet,
    caller: &mut Caller,
    with_moved_field: &[String; 2],
) {
    fleet.expect_success(&["contract", "retire", SERVICE, "1"]);
    fleet.expect_success(&["contract", "retire", SERVICE, "3"]);
    assert!(fleet
        .expect_success(&propose_args(with_moved_field))
        .contains("admitted"));
    caller.call(&[("x-customer", "seed-7"), ("x-protocol-version", "1")]);
    wait_for("the status shows the call", || {
        fleet
            .expect_success(&["keeper", "status"])
            .contains("retired and called again: farm.v1.Farm 1")
            .then_some(())
    });
    let incompatible = write_version(
        fleet,
        "5",
        "string field = 3; int32 acres = 2; bool wet = 5;",
        "KEYED",
    );
    assert!(
        fleet
            .expect_failure(&propose_args(&incompatible))
            .contains("seed-7"),
        "the version is in use again"
    );
}

#[test]
fn the_examples_are_accepted() {
    let fleet = Fleet::start(1, 1);
    let example = |name: &str| format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    let output = fleet.expect_success(&[
        "contract",
        "propose",
        &example("farm-1.txtpb"),
        "--proto",
        &example("farm.proto"),
        "--wait",
        "30",
    ]);
    assert!(output.contains("admitted"), "{output}");
    assert!(fleet
        .expect_success(&["rules", "apply", &example("rules.txtpb"), "--wait", "30"])
        .contains("in force"));
}

#[test]
fn of_two_conflicting_proposals_of_one_version_only_one_is_admitted() {
    let fleet = Fleet::start(3, 3);
    fleet.expect_success(&propose_args(&write_version(
        &fleet,
        "1",
        "string field = 1;",
        "KEYED",
    )));
    fleet.expect_success(&["contract", "subscribe", "a", SERVICE, "1"]);
    for round in 2..6 {
        let name = round.to_string();
        let first = write_version(&fleet, &name, "string field = 1; int32 acres = 2;", "KEYED");
        let second = write_version(
            &fleet,
            &name,
            "string field = 1; string acres = 2;",
            "KEYED",
        );
        // Both calls wrote the same schema file, so the schemas that are proposed get files of their own.
        let schemas = [format!("a{name}.proto"), format!("b{name}.proto")];
        let schema_with = |fields: &str| {
            std::fs::read_to_string(fleet.dir.join(&first[1]))
                .expect("the schema")
                .replace("string acres", fields)
        };
        fleet.write_file(&schemas[0], &schema_with("int32 acres"));
        fleet.write_file(&schemas[1], &schema_with("string acres"));
        // Proposed at the same time through two replicas, which at first are cut off from each other.
        fleet.set_link_faults("from=k0&to=k1&both=1&cut=1");
        let mut children = [0, 1].map(|k| {
            let args = [
                "contract",
                "propose",
                &second[0],
                "--proto",
                &schemas[k],
                "--wait",
                "30",
            ];
            fleet
                .command_to_replicas(&[k], &args)
                .spawn()
                .expect("it runs")
        });
        std::thread::sleep(std::time::Duration::from_millis(100));
        fleet.set_link_faults("heal=1");
        let outcomes: Vec<bool> = children
            .iter_mut()
            .map(|child| child.wait().expect("it exits").success())
            .collect();
        assert_eq!(
            outcomes.iter().filter(|is_admitted| **is_admitted).count(),
            1,
            "version {name}: {outcomes:?}"
        );
    }
}

#[test]
fn an_endpoint_with_a_version_that_is_not_admitted_is_held_back_unless_there_is_no_other() {
    let mut fleet = Fleet::start(3, 1);
    fleet.expect_success(&propose_args(&write_version(
        &fleet,
        "1",
        "string field = 1;",
        "KEYED",
    )));
    let endpoint_of_1 = fleet.add_endpoint("farm.v1.Farm 1");
    let endpoint_of_2 = fleet.add_endpoint("farm.v1.Farm 2");
    wait_for("the endpoint is held back", || {
        fleet
            .coordinator_status(0)
            .filter(|s| s.held_back == [endpoint_of_2.to_string()] && !s.is_last_resort)
    });
    let mut caller = Caller::new(fleet.grpc_address(0));
    wait_for("the other endpoint serves", || {
        (caller.call(&[("x-customer", "a")]).0 == Some(Code::Ok)).then_some(())
    });
    // With version 1 retired, no endpoint has an admitted version, so the gateway uses both.
    fleet.expect_success(&["contract", "retire", SERVICE, "1"]);
    fleet.expect_success(&["contract", "subscribe", "a", SERVICE, "9"]);
    let other = write_version(&fleet, "9", "string field = 1;", "KEYED");
    fleet.expect_success(&propose_args(&other));
    wait_for("the gateway uses all endpoints", || {
        fleet
            .coordinator_status(0)
            .filter(|s| s.is_last_resort && s.held_back.is_empty())
    });
    assert_eq!(
        caller.call(&[("x-customer", "a")]).0,
        Some(Code::Ok),
        "{endpoint_of_1} and {endpoint_of_2} serve"
    );
    // Once version 2 is admitted, only its endpoint is used.
    fleet.expect_success(&propose_args(&write_version(
        &fleet,
        "2",
        "string field = 1; int32 acres = 2;",
        "KEYED",
    )));
    wait_for("only the endpoint of version 2 is used", || {
        fleet
            .coordinator_status(0)
            .filter(|s| s.held_back == [endpoint_of_1.to_string()] && !s.is_last_resort)
    });
}
