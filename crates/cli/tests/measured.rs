//! Benchmarks of the coordinator and of access rules, with five replicas and forty gateways on loopback. Their figures are in
//! `docs/coordinator.md` and `docs/access.md`. Run them with
//! `cargo test --release -p chalkdeck-cli --test measured -- --ignored --nocapture`.

mod fleet;

use chalkdeck_testbed::common::process::{cpu_seconds, memory_kib};
use fleet::{wait_for, Caller, Fleet, LEASE_MS};
use rustix::process::Signal;
use std::time::{Duration, Instant};

const REPLICAS: usize = 5;
const GATEWAYS: usize = 40;
/// How often each fault is injected.
const ROUNDS: usize = 7;

fn print_quantiles(title: &str, mut seconds: Vec<f64>) {
    seconds.sort_by(f64::total_cmp);
    let quantile = |q: f64| seconds[((seconds.len() - 1) as f64 * q).round() as usize];
    println!(
        "{title}: median {:.3} s, p99 {:.3} s, max {:.3} s of {} runs",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        seconds.len()
    );
}

#[test]
#[ignore = "a measurement"]
#[expect(
    clippy::too_many_lines,
    reason = "one measurement in consecutive steps"
)]
fn time_to_a_new_leader_and_to_rules_in_force_with_forty_gateways() {
    let mut fleet = Fleet::start(REPLICAS, GATEWAYS);
    println!("{REPLICAS} replicas, {GATEWAYS} gateways, lease {LEASE_MS} ms");
    let seconds_to_apply = |fleet: &Fleet, i: usize| {
        let file = fleet.write_rule_set("c", "DENY", ["ALLOW", "DENY"][i % 2], "");
        let start = Instant::now();
        let output = fleet.expect_success(&["rules", "apply", &file, "--force", "--wait", "30"]);
        assert!(output.contains("in force"), "{output}");
        start.elapsed().as_secs_f64()
    };
    print_quantiles(
        "from rules apply to in force, all links up",
        (0..60).map(|i| seconds_to_apply(&fleet, i)).collect(),
    );
    let measure_takeovers = |fleet: &mut Fleet,
                             cause: &str,
                             inject_fault: &dyn Fn(&mut Fleet, usize),
                             repair: &dyn Fn(&mut Fleet, usize)| {
        let mut seconds = Vec::new();
        for _ in 0..ROUNDS {
            let old = wait_for("a leader", || fleet.leader_of("registrar"));
            let start = Instant::now();
            inject_fault(fleet, old.0);
            wait_for("another gateway leads", || {
                fleet
                    .leader_of("registrar")
                    .filter(|leader| leader.0 != old.0 && leader.1 > old.1)
            });
            seconds.push(start.elapsed().as_secs_f64());
            repair(fleet, old.0);
            wait_for("all gateways have sessions", || {
                (0..GATEWAYS)
                    .all(|g| {
                        fleet
                            .coordinator_status(g)
                            .is_some_and(|s| s.is_session_valid)
                    })
                    .then_some(())
            });
        }
        print_quantiles(&format!("from fault to a new leader, {cause}"), seconds);
    };
    measure_takeovers(
        &mut fleet,
        "SIGTERM",
        &|f, g| f.signal_gateway(g, Signal::TERM),
        &|f, g| {
            f.gateways[g].take().expect("it ran").wait();
            f.start_gateway(g);
        },
    );
    measure_takeovers(&mut fleet, "kill", &|f, g| f.kill_gateway(g), &|f, g| {
        f.start_gateway(g)
    });
    measure_takeovers(
        &mut fleet,
        "SIGSTOP",
        &|f, g| f.signal_gateway(g, Signal::STOP),
        &|f, g| f.signal_gateway(g, Signal::CONT),
    );
    for direction in ["both", "there", "back"] {
        measure_takeovers(
            &mut fleet,
            &format!("cut, direction {direction}"),
            &|f, g| f.set_link_faults(&format!("from=g{g}&way={direction}&cut=1")),
            &|f, g| f.set_link_faults(&format!("from=g{g}&heal=1")),
        );
    }
    (0..GATEWAYS / 10).for_each(|g| fleet.set_cut_off(&format!("g{g}"), true));
    print_quantiles(
        "from rules apply to in force, the first after a tenth of the gateways was cut off",
        vec![seconds_to_apply(&fleet, 0)],
    );
    print_quantiles(
        "from rules apply to in force, a tenth of the gateways cut off",
        (1..60).map(|i| seconds_to_apply(&fleet, i)).collect(),
    );
    // From the kill of the leading replica until the next command is decided.
    fleet.set_link_faults("heal=1");
    let mut seconds = Vec::new();
    for round in 0..ROUNDS {
        let status = fleet.expect_success(&["keeper", "status"]);
        let leader = status
            .lines()
            .find_map(|l| l.split("leader ").nth(1)?.parse::<usize>().ok())
            .expect("a leader");
        let start = Instant::now();
        fleet.kill_replica(leader - 1);
        fleet.expect_success(&[
            "keeper",
            "word",
            "north",
            ["drain", "let-back"][round % 2],
            "--wait",
            "30",
        ]);
        seconds.push(start.elapsed().as_secs_f64());
        fleet.start_replica(leader - 1, false);
        wait_for("all replicas agree", || {
            (fleet
                .expect_success(&["keeper", "status"])
                .matches("agrees")
                .count()
                == REPLICAS)
                .then_some(())
        });
    }
    print_quantiles(
        "from the kill of the leading replica to the next decided command",
        seconds,
    );
}

#[test]
#[ignore = "a measurement"]
#[expect(
    clippy::too_many_lines,
    reason = "one measurement in consecutive steps"
)]
fn calls_per_second_with_two_hundred_thousand_rules_and_with_none() {
    let mut fleet = Fleet::start(3, 1);
    fleet.add_endpoint("");
    let memory_before = memory_kib(fleet.gateway(0).id()).expect("its memory");
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
        let start = Instant::now();
        fleet.expect_success(&["rules", "apply", &file, "--force", "--wait", "60"]);
        println!(
            "another 20,000 rules in force after {:.2} s",
            start.elapsed().as_secs_f64()
        );
    }
    let memory_after = memory_kib(fleet.gateway(0).id()).expect("its memory");
    println!(
        "memory per rule: {:.0} bytes",
        (memory_after - memory_before) as f64 * 1024.0 / 200_000.0
    );
    let gateway_without_rules = fleet.start_gateway_without_coordinator();
    let metadata = [("x-customer", "c0"), ("x-region", "eu")];
    let mut callers = [
        Caller::new(fleet.grpc_address(0)),
        Caller::new(
            gateway_without_rules
                .address("grpc")
                .expect("its gRPC address"),
        ),
    ];
    let process_ids = [fleet.gateway(0).id(), gateway_without_rules.id()];
    // Calls per second, and calls per CPU second.
    let mut rates: [Vec<(f64, f64)>; 2] = Default::default();
    for round in 0..14 {
        for index in [round % 2, 1 - round % 2] {
            let cpu_before = cpu_seconds(process_ids[index]).expect("its CPU time");
            let served = callers[index].run_load(64, Duration::from_secs(2), &metadata) as f64;
            let cpu = cpu_seconds(process_ids[index]).expect("its CPU time") - cpu_before;
            // The first two rounds are warm-up.
            if round > 1 {
                rates[index].push((served / 2.0, served / cpu));
            }
        }
    }
    let median = |rates: &[(f64, f64)], field: fn(&(f64, f64)) -> f64| {
        let mut sorted: Vec<f64> = rates.iter().map(field).collect();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() / 2]
    };
    for (name, field) in [
        ("per second", (|rate| rate.0) as fn(&(f64, f64)) -> f64),
        ("per CPU second", |rate| rate.1),
    ] {
        let [with, without] = [median(&rates[0], field), median(&rates[1], field)];
        println!(
            "calls {name}: {with:.0} with 200,000 rules, {without:.0} without, ratio {:.3}",
            with / without
        );
    }
}
