//! Leader election among gateways, as processes with faults on the links between them: an election has at most one leader at a time, and
//! another gateway takes over when the leader fails.

mod fleet;

use fleet::{wait_for, Fleet, LEASE_MS};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The election whose leader the tests replace.
const ELECTION: &str = "registrar";

/// The gateway that led each election with each fencing token. No other gateway may lead with the same token.
#[derive(Default)]
struct ObservedLeaders(BTreeMap<(String, u64), usize>);

impl ObservedLeaders {
    /// Records the leaders of all elections; returns the gateway that leads `ELECTION`, and its token.
    fn observe(&mut self, fleet: &Fleet) -> Option<(usize, u64)> {
        let leaders = fleet.leaders();
        for (election, (gateway, token)) in &leaders {
            let first = *self.0.entry((election.clone(), *token)).or_insert(*gateway);
            assert_eq!(
                first, *gateway,
                "two gateways lead {election} with token {token}"
            );
        }
        leaders.get(ELECTION).copied()
    }
    /// Waits until another gateway than `old` leads, with a larger token.
    fn wait_for_successor(&mut self, fleet: &Fleet, old: (usize, u64)) -> (usize, u64) {
        wait_for("another gateway leads", || {
            self.observe(fleet)
                .filter(|(g, token)| *g != old.0 && *token > old.1)
        })
    }
}

/// Applies a rule set, for which the registrar has to admit it and every gateway with a session has to acknowledge it.
fn apply_rule_set(fleet: &Fleet, customer: &str) {
    let file = fleet.write_rule_set(customer, "DENY", "ALLOW", "");
    let output = fleet.expect_success(&["rules", "apply", &file, "--force", "--wait", "30"]);
    assert!(output.contains("in force"), "{output}");
}

/// Guards against a session that never expires: with the links from the replicas cut (direction `back`), a gateway sent Hello to one
/// replica after another without receiving a response, which kept its session alive. `rules apply` then failed with "1 gateways have not
/// said that they apply it: g3", in 15 of 39 runs under load until 2026-12-03 (`docs/incidents/2026-12-03-deaf-gateway.md`).
#[test]
fn another_gateway_leads_after_the_leader_exits_is_killed_stalls_or_is_cut_off() {
    let mut fleet = Fleet::start(3, 4);
    let mut observed = ObservedLeaders::default();
    let print_takeover = |cause: &str, start: Instant| {
        println!(
            "{cause}: another gateway leads after {:.2} s, lease {LEASE_MS} ms",
            start.elapsed().as_secs_f64()
        );
    };

    // A leader that gets SIGTERM releases the election at once.
    let old = observed.observe(&fleet).expect("a leader");
    let start = Instant::now();
    fleet.signal_gateway(old.0, Signal::TERM);
    let new = observed.wait_for_successor(&fleet, old);
    print_takeover("SIGTERM", start);
    assert!(
        fleet.gateways[old.0].take().expect("it ran").wait(),
        "it exits with success"
    );
    apply_rule_set(&fleet, "a");
    fleet.start_gateway(old.0);

    // After a leader is killed, another takes over once its session has expired.
    let start = Instant::now();
    fleet.kill_gateway(new.0);
    let old = new;
    let new = observed.wait_for_successor(&fleet, old);
    print_takeover("kill", start);
    apply_rule_set(&fleet, "b");
    fleet.start_gateway(old.0);

    // A leader is stopped for three leases. When it continues, its session has expired and its commands are rejected.
    let (stalled, start) = (new, Instant::now());
    fleet.signal_gateway(stalled.0, Signal::STOP);
    let new = observed.wait_for_successor(&fleet, stalled);
    print_takeover("SIGSTOP", start);
    apply_rule_set(&fleet, "c");
    std::thread::sleep(Duration::from_millis(3 * LEASE_MS).saturating_sub(start.elapsed()));
    fleet.signal_gateway(stalled.0, Signal::CONT);
    wait_for("it has a session again", || {
        fleet
            .coordinator_status(stalled.0)
            .filter(|s| s.is_session_valid)
    });
    observed.observe(&fleet);
    apply_rule_set(&fleet, "d");

    // A leader that is cut off, in both directions or in one, steps down before another gateway leads.
    let mut old = observed.observe(&fleet).unwrap_or(new);
    for direction in ["both", "there", "back"] {
        let start = Instant::now();
        fleet.set_link_faults(&format!("from=g{}&way={direction}&cut=1", old.0));
        let new = observed.wait_for_successor(&fleet, old);
        print_takeover(&format!("cut, direction {direction}"), start);
        let status = fleet.coordinator_status(old.0).expect("its status");
        assert!(
            !status.leaderships.iter().any(|l| l.election == ELECTION),
            "a gateway that is cut off still leads: {status:?}"
        );
        apply_rule_set(&fleet, direction);
        fleet.set_link_faults(&format!("from=g{}&heal=1", old.0));
        wait_for("it has a session again", || {
            fleet
                .coordinator_status(old.0)
                .filter(|s| s.is_session_valid)
        });
        old = observed.observe(&fleet).unwrap_or(new);
    }
}

#[test]
fn without_a_quorum_no_gateway_leads_and_with_one_all_elections_and_data_are_back() {
    let mut fleet = Fleet::start(3, 3);
    apply_rule_set(&fleet, "a");
    fleet.kill_replica(0);
    fleet.kill_replica(1);
    wait_for("no gateway has a session", || {
        (0..3)
            .all(|g| {
                fleet
                    .coordinator_status(g)
                    .is_some_and(|s| !s.is_session_valid && s.leaderships.is_empty())
            })
            .then_some(())
    });
    wait_for("the status shows the lost quorum", || {
        let status = fleet.expect_success(&["keeper", "status"]);
        (status.contains("NO MAJORITY") && status.contains("not held for sure")).then_some(())
    });
    let error = fleet.expect_failure(&["keeper", "word", "north", "hold", "--wait", "1"]);
    assert!(
        error.contains("outcome_unknown") && error.contains("say the same command again"),
        "{error}"
    );

    // The replicas restart from their folders.
    (0..2).for_each(|k| fleet.start_replica(k, false));
    wait_for("all elections have leaders", || {
        (fleet.leaders().len() == 3).then_some(())
    });
    assert!(
        fleet
            .expect_success(&["rules", "show", "a"])
            .contains("customer: \"a\""),
        "the admitted rule set is still there"
    );
    apply_rule_set(&fleet, "b");

    // A replica that lost its folder joins as a new member and counts toward the quorum, so that another replica may fail.
    fleet.kill_replica_and_delete_folder(2);
    fleet.start_replica(2, false);
    wait_for("the replica is a member again", || {
        let status = fleet.expect_success(&["keeper", "status"]);
        let lines: Vec<&str> = status
            .lines()
            .filter(|l| l.contains("configuration"))
            .collect();
        let all_agree = lines.len() == 3
            && lines
                .iter()
                .all(|l| l.contains("agrees") && !l.contains("version 0,"));
        all_agree.then_some(())
    });
    fleet.kill_replica(0);
    wait_for("the other two replicas agree", || {
        fleet
            .expect_success(&["keeper", "status"])
            .matches("agrees")
            .count()
            .eq(&2)
            .then_some(())
    });
    apply_rule_set(&fleet, "c");
}

#[test]
fn a_site_override_reaches_gateways_that_were_down_when_it_was_submitted() {
    let mut fleet = Fleet::start(3, 3);
    fleet.add_endpoint("");
    fleet.kill_gateway(2);
    fleet.expect_success(&["keeper", "word", "north", "drain"]);
    let is_held_out = |fleet: &Fleet, g: usize| {
        let text = chalkdeck_testbed::common::control::get(fleet.admin_address(g), "/sites")
            .unwrap_or_default();
        text.contains("\"site\":\"north\"") && text.contains("held out")
    };
    wait_for("the running gateways applied it", || {
        (0..2).all(|g| is_held_out(&fleet, g)).then_some(())
    });
    fleet.start_gateway(2);
    wait_for("the restarted gateway applied it", || {
        is_held_out(&fleet, 2).then_some(())
    });
    fleet.expect_success(&["keeper", "word", "north", "let-back"]);
    wait_for("no gateway holds the site out", || {
        (0..3).all(|g| !is_held_out(&fleet, g)).then_some(())
    });
}

#[test]
fn replicas_agree_despite_a_lost_leader_partial_partitions_and_flapping_links() {
    let mut fleet = Fleet::start(3, 3);
    let leading_replica = |fleet: &Fleet| {
        let status = fleet.run(&["keeper", "status"]);
        let text = String::from_utf8_lossy(&status.stdout).into_owned();
        let leader = text
            .lines()
            .filter(|l| l.contains("agrees"))
            .find_map(|l| l.rsplit(' ').next()?.parse().ok());
        leader.map(|slot: usize| slot - 1)
    };
    // The replicas' leader is killed, then stalled, then cut off from the other replicas in one direction.
    let first = wait_for("a leading replica", || leading_replica(&fleet));
    fleet.kill_replica(first);
    apply_rule_set(&fleet, "killed");
    fleet.start_replica(first, false);
    let stalled = wait_for("a leading replica", || leading_replica(&fleet));
    let signal_replica = |fleet: &Fleet, k: usize, signal| {
        fleet.replicas[k].as_ref().expect("it runs").signal(signal)
    };
    signal_replica(&fleet, stalled, Signal::STOP);
    apply_rule_set(&fleet, "stalled");
    signal_replica(&fleet, stalled, Signal::CONT);
    let cut = wait_for("a leading replica", || leading_replica(&fleet));
    for other in (0..3).filter(|k| *k != cut) {
        fleet.set_link_faults(&format!("from=k{cut}&to=k{other}&both=1&way=there&cut=1"));
    }
    apply_rule_set(&fleet, "one-way");
    fleet.set_link_faults("heal=1");
    // k0 and k2 are cut off from each other and connected only through k1.
    fleet.set_link_faults("from=k0&to=k2&both=1&cut=1");
    apply_rule_set(&fleet, "chain");
    fleet.set_link_faults("heal=1");
    // Links go down and up faster than a leader is elected, while a rule set is applied.
    let file = fleet.write_rule_set("flap", "DENY", "ALLOW", "");
    let mut applying = fleet
        .command(&["rules", "apply", &file, "--force", "--wait", "30"])
        .spawn()
        .expect("it runs");
    for i in 0..12 {
        fleet.set_link_faults(&format!("from=k{}&to=k{}&both=1&cut=1", i % 3, (i + 1) % 3));
        std::thread::sleep(Duration::from_millis(60));
        fleet.set_link_faults("heal=1");
        std::thread::sleep(Duration::from_millis(40));
    }
    assert!(applying.wait().expect("it exits").success());
    // Loss of 30% and jitter on the links between replicas delay messages.
    for k in 0..3 {
        fleet.set_link_faults(&format!("from=k{k}&loss=0.3&jitter_ms=20"));
    }
    apply_rule_set(&fleet, "loss");
}
