//! Customers' access rules, with processes and faults on the links between them: once a rule set is reported as in force, no gateway
//! applies an earlier one, and hit counts are exact.

mod fleet;

use chalkdeck_net::grpc::Code;
use fleet::{wait_for, Caller, Fleet, VIEW, WATCH};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

fn apply(fleet: &Fleet, file: &str) -> String {
    fleet.expect_success(&["rules", "apply", file, "--force", "--wait", "30"])
}

fn hit_count(fleet: &Fleet, customer: &str) -> u64 {
    let text = fleet.expect_success(&["rules", "hits", customer]);
    text.lines()
        .filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Applies a rule set that denies all calls while one of three gateways is cut off and callers call all gateways. Returns the output of
/// `rules apply`, and how many calls were admitted after it returned, at the gateways for which `is_counted` is true. A gateway that is cut
/// off applies what its earlier rule set has for `stale`, so with KEEP it may go on to admit calls.
fn deny_while_a_gateway_is_cut_off(stale: &str, is_counted: [bool; 3]) -> (String, u64) {
    let fleet = Fleet::start(3, 3);
    apply(&fleet, &fleet.write_rule_set("c", stale, "ALLOW", ""));
    let deny = fleet.write_rule_set("c", stale, "DENY", "");
    fleet.set_cut_off("g2", true);
    let (is_in_force, is_over) = (AtomicBool::new(false), AtomicBool::new(false));
    let (output, admitted) = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..3)
            .map(|g| {
                let (address, is_in_force, is_over) =
                    (fleet.grpc_address(g), &is_in_force, &is_over);
                scope.spawn(move || {
                    let (mut caller, mut before, mut after) = (Caller::new(address), 0, 0);
                    while !is_over.load(Ordering::SeqCst) {
                        let must_deny = is_in_force.load(Ordering::SeqCst);
                        if caller.is_admitted("c") {
                            *(if must_deny { &mut after } else { &mut before }) += 1;
                        }
                    }
                    assert!(before > 0, "g{g} admitted no calls before the deny");
                    after
                })
            })
            .collect();
        let output = apply(&fleet, &deny);
        is_in_force.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(400));
        is_over.store(true, Ordering::SeqCst);
        let after: Vec<u64> = callers
            .into_iter()
            .map(|c| c.join().expect("the caller finishes"))
            .collect();
        (
            output,
            after
                .iter()
                .zip(is_counted)
                .filter(|(_, is_counted)| *is_counted)
                .map(|(count, _)| count)
                .sum(),
        )
    });
    // A gateway that restarts while it is cut off applies its cached rule set, as its `stale` demands, and never an earlier one.
    let mut fleet = fleet;
    fleet.kill_gateway(2);
    fleet.start_gateway(2);
    let mut caller = Caller::new(fleet.grpc_address(2));
    let (code, message) = caller.call(&[("x-customer", "c")]);
    assert_eq!(
        code != Some(Code::PermissionDenied),
        stale == "KEEP",
        "restarted while cut off: {code:?} {message} {:?}",
        fleet.coordinator_status(2)
    );
    fleet.set_cut_off("g2", false);
    wait_for("the gateway denies by the new rule set", || {
        (!caller.is_admitted("c")).then_some(())
    });
    (output, admitted)
}

#[test]
fn a_deny_in_force_is_applied_by_all_gateways_if_the_stale_rule_set_denies() {
    let (output, admitted) = deny_while_a_gateway_is_cut_off("DENY", [true, true, true]);
    assert!(
        output.contains("in force") && !output.contains("cut off"),
        "{output}"
    );
    assert_eq!(admitted, 0, "calls admitted after the deny was in force");
}

#[test]
fn a_deny_in_force_names_gateways_that_are_cut_off_and_keep_a_stale_rule_set() {
    let (output, admitted) = deny_while_a_gateway_is_cut_off("KEEP", [true, true, false]);
    assert!(
        output.contains("in force") && output.contains("cut off") && output.contains("g2"),
        "{output}"
    );
    assert_eq!(admitted, 0, "calls admitted after the deny was in force");
}

#[test]
fn rules_decide_by_region_and_path_and_end_open_streams() {
    let mut fleet = Fleet::start(3, 3);
    fleet.add_endpoint("");
    let rules = format!(
        "rules {{ id: 'no-eu-view' action: DENY caller_regions: 'eu' routes: '{VIEW}' }}
         rules {{ id: 'no-south' action: DENY gateway_regions: 'south' }}"
    );
    let set = fleet.write_rule_set("c", "KEEP", "ALLOW", &rules);
    apply(&fleet, &set);
    let mut callers: Vec<Caller> = (0..3).map(|g| Caller::new(fleet.grpc_address(g))).collect();
    let call = |caller: &mut Caller, region: &str| {
        caller.call(&[("x-customer", "c"), ("x-region", region)])
    };
    wait_for("the endpoint is known", || {
        (call(&mut callers[0], "us").0 == Some(Code::Ok)).then_some(())
    });
    let (code, why) = call(&mut callers[0], "eu");
    assert_eq!(code, Some(Code::PermissionDenied));
    assert!(why.contains("no-eu-view") && why.contains("set 1"), "{why}");
    assert!(call(&mut callers[2], "us").1.contains("no-south"));
    // Another customer has no rule set.
    assert_eq!(
        callers[2]
            .call(&[("x-customer", "other"), ("x-region", "eu")])
            .0,
        Some(Code::Ok)
    );

    // A new rule set that denies calls ends the customer's open streams; streams of other customers stay open.
    let stream = callers[0].open_stream(WATCH, &[("x-customer", "c"), ("x-region", "us")]);
    let other = callers[0].open_stream(WATCH, &[("x-customer", "other")]);
    wait_for("both streams are open", || {
        callers[0].poll_events();
        (callers[0].responding_streams.contains(&stream)
            && callers[0].responding_streams.contains(&other))
        .then_some(())
    });
    let start = Instant::now();
    apply(&fleet, &fleet.write_rule_set("c", "KEEP", "DENY", ""));
    assert_eq!(callers[0].result_of(stream).0, Some(Code::PermissionDenied));
    println!(
        "a stream denied by a new rule set ended {:.3} s after the rule set was submitted",
        start.elapsed().as_secs_f64()
    );
    assert!(!callers[0].results.contains_key(&other));

    // A rule set that would have denied all recent calls of the customer is rejected without --force.
    let denies_all = fleet.write_rule_set("other", "KEEP", "DENY", "");
    wait_for("the calls were reported", || {
        fleet
            .expect_success(&["rules", "check", &denies_all])
            .contains("lock the customer out")
            .then_some(())
    });
    let error = fleet.expect_failure(&["rules", "apply", &denies_all]);
    assert!(
        error.contains("chalkdeck::rules::rejected") && error.contains("--force"),
        "{error}"
    );
    let broken = fleet.write_file("broken.txtpb", "customer: 'x'\notherwise: MAYBE");
    assert!(fleet
        .expect_failure(&["rules", "apply", &broken])
        .contains("broken.txtpb:2:"));
}

/// Applies a rule set of customer `c` that denies callers of one region, with the region's name as the id of the rule.
fn deny_region(fleet: &Fleet, region: &str) {
    let rule = format!("rules {{ id: '{region}' action: DENY caller_regions: '{region}' }}");
    apply(fleet, &fleet.write_rule_set("c", "KEEP", "ALLOW", &rule));
}

#[test]
fn hits_are_exact_despite_link_faults_and_a_killed_gateway_loses_at_most_one_report() {
    let mut fleet = Fleet::start(3, 3);
    fleet.add_endpoint("");
    deny_region(&fleet, "eu");
    let mut callers: Vec<Caller> = (0..3).map(|g| Caller::new(fleet.grpc_address(g))).collect();
    let mut calls = 0;
    let mut call = |callers: &mut [Caller], rounds: usize| {
        for i in 0..rounds {
            for caller in callers.iter_mut() {
                caller.call(&[("x-customer", "c"), ("x-region", ["eu", "us"][i % 2])]);
                calls += 1;
            }
        }
        calls
    };
    // Reports are lost, delayed and sent again; a session expires and is reopened without a restart of the gateway.
    fleet.set_link_faults("from=g0&loss=0.3&jitter_ms=30");
    call(&mut callers, 100);
    fleet.set_cut_off("g1", true);
    wait_for("its session expired", || {
        fleet
            .expect_success(&["keeper", "status"])
            .contains("cut off 0 s ago")
            .then_some(())
    });
    call(&mut callers, 50);
    fleet.set_cut_off("g1", false);
    fleet.set_link_faults("heal=1");
    let sent = call(&mut callers, 10);
    wait_for("all hits are counted", || {
        (hit_count(&fleet, "c") == sent).then_some(())
    });
    // A new rule set stops the counts of the previous one, which stay.
    deny_region(&fleet, "us");
    let sent = call(&mut callers, 10);
    wait_for("the hits of both rule sets are counted", || {
        (hit_count(&fleet, "c") == sent).then_some(())
    });
    let text = fleet.expect_success(&["rules", "hits", "c"]);
    assert!(text.contains("c 1 eu") && text.contains("c 2 us"), "{text}");
    // A gateway is killed right after calls: only the hits since its last report are lost, and after its restart further hits are
    // added to the count.
    let sent = call(&mut callers, 40);
    fleet.kill_gateway(2);
    fleet.start_gateway(2);
    callers[2] = Caller::new(fleet.grpc_address(2));
    wait_for("it has a session", || {
        fleet.coordinator_status(2).filter(|s| s.is_session_valid)
    });
    let sent_after_restart = call(&mut callers, 10) - sent;
    wait_for("the remaining hits are counted", || {
        (hit_count(&fleet, "c") >= sent - 40 + sent_after_restart).then_some(())
    });
    std::thread::sleep(Duration::from_millis(500));
    let counted = hit_count(&fleet, "c");
    assert!(
        (sent - 40 + sent_after_restart..=sent + sent_after_restart).contains(&counted),
        "{counted} of {}",
        sent + sent_after_restart
    );
    println!(
        "killed right after 40 calls: {} of them lost",
        sent + sent_after_restart - counted
    );
}

#[test]
fn a_gateway_without_state_admits_no_calls_and_one_with_cached_state_applies_it() {
    let mut fleet = Fleet::start_without_gateways(3, 2);
    fleet.start_gateway(0);
    fleet.set_cut_off("g1", true);
    apply(&fleet, &fleet.write_rule_set("keeps", "KEEP", "DENY", ""));
    apply(&fleet, &fleet.write_rule_set("denies", "DENY", "ALLOW", ""));
    fleet.start_gateway(1);
    let mut caller = Caller::new(fleet.grpc_address(1));
    let (code, message) = caller.call(&[("x-customer", "keeps")]);
    assert_eq!(code, Some(Code::Unavailable), "{message}");
    let health = chalkdeck_testbed::common::control::get(fleet.admin_address(1), "/healthz");
    assert!(health.is_err_and(|error| error.to_string().contains("no keeper was heard")));
    fleet.set_cut_off("g1", false);
    wait_for("the gateway has the shared state", || {
        fleet
            .coordinator_status(1)
            .filter(|s| s.is_session_valid && s.rule_sets.len() == 2)
    });
    assert!(!caller.is_admitted("keeps") && caller.is_admitted("denies"));
    // With all replicas killed, the restarted gateway applies the state that it cached on disk.
    (0..3).for_each(|k| fleet.kill_replica(k));
    fleet.kill_gateway(1);
    fleet.start_gateway(1);
    let mut caller = Caller::new(fleet.grpc_address(1));
    assert!(
        !caller.is_admitted("keeps"),
        "the cached rule set denies all calls"
    );
    assert!(
        !caller.is_admitted("denies"),
        "without a session the stale rule set denies"
    );
    assert!(
        caller.is_admitted("other"),
        "customers without a rule set are admitted"
    );
}
