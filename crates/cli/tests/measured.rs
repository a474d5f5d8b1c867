//! Figures of `docs/coordinator.md` and `docs/access.md`: five keepers and forty gateways on loopback. `cargo test --release -p chalkdeck-cli
//! --test measured -- --ignored --nocapture`.

mod fleet;

use chalkdeck_testbed::parts::process::{cpu_seconds, memory_kib};
use fleet::{wait_for, Caller, Fleet, LEASE_MS};
use rustix::process::Signal;
use std::time::{Duration, Instant};

const KEEPERS: usize = 5;
const GATEWAYS: usize = 40;
const TURNS: usize = 7;

fn tell(what: &str, mut seconds: Vec<f64>) {
    seconds.sort_by(f64::total_cmp);
    let at = |part: f64| seconds[((seconds.len() - 1) as f64 * part).round() as usize];
    println!(
        "{what}: median {:.3} s, p99 {:.3} s, most {:.3} s of {}",
        at(0.5),
        at(0.99),
        at(1.0),
        seconds.len()
    );
}

#[test]
#[ignore = "a measurement"]
#[expect(
    clippy::too_many_lines,
    reason = "one measurement, whose steps follow each other"
)]
fn hand_over_and_rules_in_force_over_forty_gateways() {
    let mut fleet = Fleet::start(KEEPERS, GATEWAYS);
    println!("{KEEPERS} keepers, {GATEWAYS} gateways, lease {LEASE_MS} ms");
    let apply = |fleet: &Fleet, i: usize| {
        let file = fleet.write_rule_set("c", "DENY", ["ALLOW", "DENY"][i % 2], "");
        let begun = Instant::now();
        let said = fleet.expect_success(&["rules", "apply", &file, "--force", "--wait", "30"]);
        assert!(said.contains("in force"), "{said}");
        begun.elapsed().as_secs_f64()
    };
    tell(
        "apply to in force, all links whole",
        (0..60).map(|i| apply(&fleet, i)).collect(),
    );
    let each = |fleet: &mut Fleet,
                cause: &str,
                begin: &dyn Fn(&mut Fleet, usize),
                end: &dyn Fn(&mut Fleet, usize)| {
        let mut seconds = Vec::new();
        for _ in 0..TURNS {
            let old = wait_for("held", || fleet.leader_of("registrar"));
            let begun = Instant::now();
            begin(fleet, old.0);
            wait_for("handed on", || {
                fleet
                    .leader_of("registrar")
                    .filter(|h| h.0 != old.0 && h.1 > old.1)
            });
            seconds.push(begun.elapsed().as_secs_f64());
            end(fleet, old.0);
            wait_for("all have sessions", || {
                (0..GATEWAYS)
                    .all(|g| {
                        fleet
                            .coordinator_status(g)
                            .is_some_and(|s| s.is_session_valid)
                    })
                    .then_some(())
            });
        }
        tell(&format!("hand-over, {cause}"), seconds);
    };
    each(
        &mut fleet,
        "SIGTERM",
        &|f, g| f.signal_gateway(g, Signal::TERM),
        &|f, g| {
            f.gateways[g].take().expect("it ran").wait();
            f.start_gateway(g);
        },
    );
    each(&mut fleet, "kill", &|f, g| f.kill_gateway(g), &|f, g| {
        f.start_gateway(g)
    });
    each(
        &mut fleet,
        "SIGSTOP",
        &|f, g| f.signal_gateway(g, Signal::STOP),
        &|f, g| f.signal_gateway(g, Signal::CONT),
    );
    for way in ["both", "there", "back"] {
        each(
            &mut fleet,
            &format!("cut, way {way}"),
            &|f, g| f.set_link_faults(&format!("from=g{g}&way={way}&cut=1")),
            &|f, g| f.set_link_faults(&format!("from=g{g}&heal=1")),
        );
    }
    (0..GATEWAYS / 10).for_each(|g| fleet.set_cut_off(&format!("g{g}"), true));
    tell(
        "apply to in force, a tenth just cut off, the first",
        vec![apply(&fleet, 0)],
    );
    tell(
        "apply to in force, a tenth cut off",
        (1..60).map(|i| apply(&fleet, i)).collect(),
    );
    // A keeper's loss: from its kill to the next command agreed on.
    fleet.set_link_faults("heal=1");
    let mut seconds = Vec::new();
    for turn in 0..TURNS {
        let status = fleet.expect_success(&["keeper", "status"]);
        let leader = status
            .lines()
            .find_map(|l| l.split("leader ").nth(1)?.parse::<usize>().ok())
            .expect("a leader");
        let begun = Instant::now();
        fleet.kill_replica(leader - 1);
        fleet.expect_success(&[
            "keeper",
            "word",
            "north",
            ["drain", "let-back"][turn % 2],
            "--wait",
            "30",
        ]);
        seconds.push(begun.elapsed().as_secs_f64());
        fleet.start_replica(leader - 1, false);
        wait_for("it is back", || {
            (fleet
                .expect_success(&["keeper", "status"])
                .matches("agrees")
                .count()
                == KEEPERS)
                .then_some(())
        });
    }
    tell("the leader killed to the next command agreed on", seconds);
}

#[test]
#[ignore = "a measurement"]
#[expect(
    clippy::too_many_lines,
    reason = "one measurement, whose steps follow each other"
)]
fn calls_with_two_hundred_thousand_rules_beside_none() {
    let mut fleet = Fleet::start(3, 1);
    fleet.add_endpoint("");
    let before = memory_kib(fleet.gateway(0).id()).expect("told");
    for customer in 0..10 {
        let rule = |i: usize| {
            format!(
                "rules {{ id: 'r{i}' action: DENY caller_regions: 'r{}' routes: '/farm.v1.Farm/M{i}*' }}\n",
                i % 40
            )
        };
        let file = fleet.write_rule_set(
            &format!("c{customer}"),
            "KEEP",
            "ALLOW",
            &(0..20_000).map(rule).collect::<String>(),
        );
        let begun = Instant::now();
        fleet.expect_success(&["rules", "apply", &file, "--force", "--wait", "60"]);
        println!(
            "20,000 rules more in force after {:.2} s",
            begun.elapsed().as_secs_f64()
        );
    }
    let after = memory_kib(fleet.gateway(0).id()).expect("told");
    println!(
        "memory a rule: {:.0} bytes",
        (after - before) as f64 * 1024.0 / 200_000.0
    );
    let bare = fleet.start_gateway_without_coordinator();
    let hot = [("x-customer", "c0"), ("x-region", "eu")];
    let mut callers = [
        Caller::new(fleet.grpc_address(0)),
        Caller::new(bare.address("grpc").expect("told")),
    ];
    let ids = [fleet.gateway(0).id(), bare.id()];
    let mut figures: [Vec<(f64, f64)>; 2] = Default::default();
    for turn in 0..14 {
        for place in [turn % 2, 1 - turn % 2] {
            let cpu = cpu_seconds(ids[place]).expect("told");
            let served = callers[place].run_load(64, Duration::from_secs(2), &hot) as f64;
            let core = cpu_seconds(ids[place]).expect("told") - cpu;
            // The first ones warm up.
            if turn > 1 {
                figures[place].push((served / 2.0, served / core));
            }
        }
    }
    let median = |of: &[(f64, f64)], f: fn(&(f64, f64)) -> f64| {
        let mut all: Vec<f64> = of.iter().map(f).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    for (name, f) in [
        ("a second", (|f| f.0) as fn(&(f64, f64)) -> f64),
        ("a second of a core", |f| f.1),
    ] {
        let [with, without] = [median(&figures[0], f), median(&figures[1], f)];
        println!(
            "calls {name}: {with:.0} with 200,000 rules, {without:.0} without: {:.3}",
            with / without
        );
    }
}
