//! Compatibility of stored data: the programs open folders and files written by commit d5a4349, work with them, and can be restarted.
//!
//! The recorded data are those of three coordinator replicas in their second configuration and of two gateways' caches: rule sets for
//! `maize`, `beans` and six more customers, a subscription, and an override that drains the site `north`.

mod fleet;

use chalkdeck_testbed::common::control;
use fleet::{wait_for, Caller, Fleet};
use std::path::{Path, PathBuf};

const REPLICAS: usize = 3;
const GATEWAYS: usize = 2;

fn stored_data_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored-d5a4349")
}

fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("a folder") {
        let entry = entry.expect("an entry");
        let target = to.join(entry.file_name());
        if entry.path().is_dir() {
            copy_folder(&entry.path(), &target);
        } else {
            std::fs::copy(entry.path(), target).expect("copied");
        }
    }
}

fn fleet_on_stored_data() -> Fleet {
    let fleet = Fleet::prepare(REPLICAS, GATEWAYS);
    copy_folder(&stored_data_folder(), &fleet.dir);
    fleet
}

fn start_replicas(fleet: &mut Fleet) {
    (0..REPLICAS).for_each(|k| fleet.start_replica(k, false));
    wait_for("all replicas agree", || {
        let status = fleet.expect_success(&["keeper", "status"]);
        (status.matches("agrees, configuration").count() == REPLICAS).then_some(())
    });
}

fn assert_stored_state(fleet: &Fleet) {
    let maize = fleet.expect_success(&["rules", "show", "maize"]);
    assert!(
        maize.contains("id: \"r1\"") && maize.contains("\"west\""),
        "{maize}"
    );
    let beans = fleet.expect_success(&["rules", "show", "beans"]);
    assert!(beans.contains("otherwise: DENY"), "{beans}");
    let in_use = fleet.expect_success(&["contract", "spoken"]);
    assert!(
        in_use.contains("farm.v1.Farm v1 maize: subscribes"),
        "{in_use}"
    );
}

fn apply(fleet: &Fleet, customer: &str) {
    let file = fleet.write_rule_set(customer, "KEEP", "ALLOW", "");
    let output = fleet.expect_success(&["rules", "apply", &file, "--force", "--wait", "30"]);
    assert!(output.contains("in force"), "{output}");
}

#[test]
fn replicas_open_recorded_folders_accept_commands_and_restart() {
    let mut fleet = fleet_on_stored_data();
    start_replicas(&mut fleet);
    let status = fleet.expect_success(&["keeper", "status"]);
    assert!(
        status.contains("agrees, configuration 2, version "),
        "{status}"
    );
    assert_stored_state(&fleet);
    (0..GATEWAYS).for_each(|g| fleet.start_gateway(g));
    apply(&fleet, "after-restart");
    (0..REPLICAS).for_each(|k| fleet.kill_replica(k));
    start_replicas(&mut fleet);
    assert_stored_state(&fleet);
    let added = fleet.expect_success(&["rules", "show", "after-restart"]);
    assert!(added.contains("customer: \"after-restart\""), "{added}");
    wait_for("all elections have leaders", || {
        (fleet.leaders().len() == 3).then_some(())
    });
    apply(&fleet, "after-second-restart");
}

#[test]
fn a_gateway_without_replicas_applies_its_recorded_cache() {
    let mut fleet = fleet_on_stored_data();
    fleet.add_endpoint("");
    for _start in 0..2 {
        fleet.start_gateway(0);
        let mut caller = Caller::new(fleet.grpc_address(0));
        assert!(!caller.is_admitted("beans"), "denied by the cached set");
        assert!(caller.is_admitted("c0"), "allowed by the cached set");
        let sites = control::get(fleet.admin_address(0), "/sites").expect("sites");
        assert!(
            sites.contains("\"site\":\"north\"") && sites.contains("held out"),
            "{sites}"
        );
        fleet.stop_gateway(0);
    }
}
