//! Customers' access rules over processes with faults between them: in force is a promise, and hits are exact.

mod fleet;

use chalkdeck_net::grpc::Code;
use fleet::{wait_for, Caller, Fleet, VIEW, WATCH};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

fn apply(fleet: &Fleet, file: &str) -> String {
    fleet.expect_success(&["rules", "apply", file, "--force", "--wait", "30"])
}

fn hits(fleet: &Fleet, customer: &str) -> u64 {
    let text = fleet.expect_success(&["rules", "hits", customer]);
    text.lines()
        .filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Applies a deny while one of three gateways is cut off, with calls all the time; returns what `apply` said, and how many calls were
/// admitted after it had. Calls at the one that is cut off count where its earlier set says DENY.
fn deny_under_a_cut(stale: &str, counts: [bool; 3]) -> (String, u64) {
    let fleet = Fleet::start(3, 3);
    apply(&fleet, &fleet.write_rule_set("c", stale, "ALLOW", ""));
    let deny = fleet.write_rule_set("c", stale, "DENY", "");
    fleet.set_cut_off("g2", true);
    let (said, over) = (AtomicBool::new(false), AtomicBool::new(false));
    let (words, admitted) = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..3)
            .map(|g| {
                let (address, said, over) = (fleet.grpc_address(g), &said, &over);
                scope.spawn(move || {
                    let (mut caller, mut before, mut after) = (Caller::new(address), 0, 0);
                    while !over.load(Ordering::SeqCst) {
                        let known = said.load(Ordering::SeqCst);
                        if caller.is_admitted("c") {
                            *(if known { &mut after } else { &mut before }) += 1;
                        }
                    }
                    assert!(before > 0, "g{g} admitted calls before");
                    after
                })
            })
            .collect();
        let words = apply(&fleet, &deny);
        said.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(400));
        over.store(true, Ordering::SeqCst);
        let after: Vec<u64> = callers
            .into_iter()
            .map(|c| c.join().expect("it called"))
            .collect();
        (
            words,
            after
                .iter()
                .zip(counts)
                .filter(|(_, counts)| *counts)
                .map(|(n, _)| n)
                .sum(),
        )
    });
    // One that restarts in the cut goes by what it kept: as with the set before, and never by an earlier one.
    let mut fleet = fleet;
    fleet.kill_gateway(2);
    fleet.start_gateway(2);
    let mut caller = Caller::new(fleet.grpc_address(2));
    let (code, why) = caller.call(&[("x-customer", "c")]);
    assert_eq!(
        code != Some(Code::PermissionDenied),
        stale == "KEEP",
        "restarted while cut off: {code:?} {why} {:?}",
        fleet.coordinator_status(2)
    );
    fleet.set_cut_off("g2", false);
    wait_for("it hears the new set", || {
        (!caller.is_admitted("c")).then_some(())
    });
    (words, admitted)
}

#[test]
fn a_deny_in_force_is_kept_by_all_where_the_set_denies_when_stale() {
    let (words, admitted) = deny_under_a_cut("DENY", [true, true, true]);
    assert!(
        words.contains("in force") && !words.contains("cut off"),
        "{words}"
    );
    assert_eq!(admitted, 0, "admitted after it was said to be in force");
}

#[test]
fn a_deny_in_force_names_who_is_cut_off_where_the_set_is_kept() {
    let (words, admitted) = deny_under_a_cut("KEEP", [true, true, false]);
    assert!(
        words.contains("in force") && words.contains("cut off") && words.contains("g2"),
        "{words}"
    );
    assert_eq!(admitted, 0, "admitted after it was said to be in force");
}

#[test]
fn rules_decide_by_region_path_and_class_before_anything_else_and_end_streams() {
    let mut fleet = Fleet::start(3, 3);
    fleet.add_endpoint("");
    let rules = format!(
        "rules {{ id: 'no-eu-view' action: DENY caller_regions: 'eu' routes: '{VIEW}' }}
         rules {{ id: 'no-south' action: DENY gateway_regions: 'south' }}"
    );
    let set = fleet.write_rule_set("c", "KEEP", "ALLOW", &rules);
    apply(&fleet, &set);
    let mut callers: Vec<Caller> = (0..3).map(|g| Caller::new(fleet.grpc_address(g))).collect();
    let served =
        |c: &mut Caller, region: &str| c.call(&[("x-customer", "c"), ("x-region", region)]);
    wait_for("the server is known", || {
        (served(&mut callers[0], "us").0 == Some(Code::Ok)).then_some(())
    });
    let (code, why) = served(&mut callers[0], "eu");
    assert_eq!(code, Some(Code::PermissionDenied));
    assert!(why.contains("no-eu-view") && why.contains("set 1"), "{why}");
    assert!(served(&mut callers[2], "us").1.contains("no-south"));
    // Another customer has no set.
    assert_eq!(
        callers[2]
            .call(&[("x-customer", "other"), ("x-region", "eu")])
            .0,
        Some(Code::Ok)
    );

    // Streams that are open end when a set turns to deny; those of others go on.
    let stream = callers[0].open_stream(WATCH, &[("x-customer", "c"), ("x-region", "us")]);
    let other = callers[0].open_stream(WATCH, &[("x-customer", "other")]);
    wait_for("both streams began", || {
        callers[0].poll_events();
        (callers[0].responding_streams.contains(&stream)
            && callers[0].responding_streams.contains(&other))
        .then_some(())
    });
    let begun = Instant::now();
    apply(&fleet, &fleet.write_rule_set("c", "KEEP", "DENY", ""));
    assert_eq!(
        callers[0].wait_for_end(stream).0,
        Some(Code::PermissionDenied)
    );
    println!(
        "a stream that a new set denies ended {:.3} s after the set was given",
        begun.elapsed().as_secs_f64()
    );
    assert!(!callers[0].results.contains_key(&other));

    // What came of late would have been denied altogether: only an explicit word puts that into force.
    let lock = fleet.write_rule_set("other", "KEEP", "DENY", "");
    wait_for("the calls were reported", || {
        fleet
            .expect_success(&["rules", "check", &lock])
            .contains("lock the customer out")
            .then_some(())
    });
    let refused = fleet.expect_failure(&["rules", "apply", &lock]);
    assert!(
        refused.contains("chalkdeck::rules::rejected") && refused.contains("--force"),
        "{refused}"
    );
    let broken = fleet.write_file("broken.txtpb", "customer: 'x'\notherwise: MAYBE");
    assert!(fleet
        .expect_failure(&["rules", "apply", &broken])
        .contains("broken.txtpb:2:"));
}

/// Puts a rule set of customer `c` into force that denies callers of one region, by a rule of the region's name.
fn deny_region(fleet: &Fleet, region: &str) {
    let rule = format!("rules {{ id: '{region}' action: DENY caller_regions: '{region}' }}");
    apply(fleet, &fleet.write_rule_set("c", "KEEP", "ALLOW", &rule));
}

#[test]
fn hits_are_exact_over_lost_links_and_lose_at_most_a_report_where_a_gateway_is_killed() {
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
    // Reports that are lost, late, and said again; a session that lapses and comes back in the same life.
    fleet.set_link_faults("from=g0&loss=0.3&jitter_ms=30");
    call(&mut callers, 100);
    fleet.set_cut_off("g1", true);
    wait_for("its session lapsed", || {
        fleet
            .expect_success(&["keeper", "status"])
            .contains("cut off 0 s ago")
            .then_some(())
    });
    call(&mut callers, 50);
    fleet.set_cut_off("g1", false);
    fleet.set_link_faults("heal=1");
    let sent = call(&mut callers, 10);
    wait_for("all are told", || (hits(&fleet, "c") == sent).then_some(()));
    // A new set ends the counts of the one before and keeps them.
    deny_region(&fleet, "us");
    let sent = call(&mut callers, 10);
    wait_for("both sets' are told", || {
        (hits(&fleet, "c") == sent).then_some(())
    });
    let text = fleet.expect_success(&["rules", "hits", "c"]);
    assert!(text.contains("c 1 eu") && text.contains("c 2 us"), "{text}");
    // Killed right after calls: what came since its last report is lost, and nothing else; a later life counts on.
    let sent = call(&mut callers, 40);
    fleet.kill_gateway(2);
    fleet.start_gateway(2);
    callers[2] = Caller::new(fleet.grpc_address(2));
    wait_for("it has a session", || {
        fleet.coordinator_status(2).filter(|s| s.is_session_valid)
    });
    let more = call(&mut callers, 10) - sent;
    wait_for("the rest is told", || {
        (hits(&fleet, "c") >= sent - 40 + more).then_some(())
    });
    std::thread::sleep(Duration::from_millis(500));
    let told = hits(&fleet, "c");
    assert!(
        (sent - 40 + more..=sent + more).contains(&told),
        "{told} of {}",
        sent + more
    );
    println!(
        "killed right after 40 calls: {} of them lost",
        sent + more - told
    );
}

#[test]
fn a_gateway_that_never_heard_a_state_takes_no_calls_and_one_that_did_goes_by_it() {
    let mut fleet = Fleet::start_without_gateways(3, 2);
    fleet.start_gateway(0);
    fleet.set_cut_off("g1", true);
    apply(&fleet, &fleet.write_rule_set("keeps", "KEEP", "DENY", ""));
    apply(&fleet, &fleet.write_rule_set("denies", "DENY", "ALLOW", ""));
    fleet.start_gateway(1);
    let mut caller = Caller::new(fleet.grpc_address(1));
    let (code, why) = caller.call(&[("x-customer", "keeps")]);
    assert_eq!(code, Some(Code::Unavailable), "{why}");
    let health = chalkdeck_testbed::parts::control::get(fleet.admin_address(1), "/healthz");
    assert!(health.is_err_and(|e| e.to_string().contains("no keeper was heard")));
    fleet.set_cut_off("g1", false);
    wait_for("it has heard", || {
        fleet
            .coordinator_status(1)
            .filter(|s| s.is_session_valid && s.rule_sets.len() == 2)
    });
    assert!(!caller.is_admitted("keeps") && caller.is_admitted("denies"));
    // All keepers gone, and the gateway started anew: what it kept on disk holds.
    (0..3).for_each(|k| fleet.kill_replica(k));
    fleet.kill_gateway(1);
    fleet.start_gateway(1);
    let mut caller = Caller::new(fleet.grpc_address(1));
    assert!(!caller.is_admitted("keeps"), "kept as it was");
    assert!(!caller.is_admitted("denies"), "denied without a session");
    assert!(caller.is_admitted("other"), "nobody else is");
}
