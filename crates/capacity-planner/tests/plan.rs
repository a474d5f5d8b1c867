//! The optimum against what can be reckoned by hand, and inputs that make no sense.
use chalkdeck_capacity_planner::read::{read, Demand, Input, Site};
use chalkdeck_capacity_planner::{show, solve};
use proptest::prelude::*;

const THREE: &str = include_str!("../examples/three-sites.txtpb");

fn input() -> Input {
    read("three-sites.txtpb", THREE).expect("a sound input")
}

#[test]
fn each_site_and_each_pair_is_a_case() {
    let cases = solve::cases(&input()).expect("an optimum");
    assert_eq!(cases.len(), 1 + 3 + 3);
    assert_eq!(cases[0].missing, 0.0);
    assert!(cases[0]
        .served
        .iter()
        .filter(|s| !s.over)
        .all(|s| s.refused < 1e-6));
    assert!(
        cases[0].flows.iter().all(|f| f.from == f.to),
        "crossing costs, so nobody does: {:?}",
        cases[0].flows
    );
}

#[test]
fn what_is_refused_is_the_least_worth_for_its_room() {
    let lost = solve::case(&input(), &[0]).expect("an optimum");
    let units = |d: &Demand| d.rate * d.units;
    let inside: f64 = input().demand.iter().filter(|d| !d.over).map(units).sum();
    assert!((lost.missing - (inside - 300.0)).abs() < 1e-6);
    // Reports of the cheapest plan go first; what is missing is less than all reports.
    let refused: Vec<_> = lost
        .served
        .iter()
        .filter(|s| !s.over && s.refused > 1e-6)
        .collect();
    assert!(refused.iter().all(|s| s.class == "report"), "{refused:?}");
    assert!(lost
        .served
        .iter()
        .any(|s| s.class == "report" && s.plan == "seed" && s.served < 1e-6));
    assert!(lost.in_use.iter().all(|u| (u.part - 1.0).abs() < 1e-6));
}

#[test]
fn beyond_the_quotas_only_with_room_that_nobody_inside_needs() {
    let of = |case: &solve::Case| case.served.iter().find(|s| s.over).map(|s| s.served);
    assert_eq!(
        of(&solve::case(&input(), &[0]).expect("an optimum")),
        Some(0.0)
    );
    let calm = of(&solve::case(&input(), &[]).expect("an optimum")).expect("some beyond");
    assert!((calm - 10.0).abs() < 1e-6);
}

#[test]
fn with_the_gateways_at_a_lost_site_nothing_arrives() {
    let one = THREE.replace("capacity: 150 gateways: 4 }\nsites { name: \"middle\" capacity: 150 gateways: 4 }\nsites { name: \"south\" capacity: 150 gateways: 4", "capacity: 150 gateways: 4 }\nsites { name: \"middle\" capacity: 150 }\nsites { name: \"south\" capacity: 150");
    let input = read("one.txtpb", &one).expect("a sound input");
    let lost = solve::case(&input, &[0]).expect("an optimum");
    assert_eq!(lost.worth, 0.0);
    assert!(show::table(&[lost]).contains("0.0% of the worth"));
}

#[test]
fn nonsense_is_one_line_with_file_line_and_field() {
    let wrong = [
        (
            THREE.replace(
                "name: \"middle\" capacity: 150",
                "name: \"middle\" capacity: -1",
            ),
            "3: sites[1].capacity",
        ),
        (
            THREE.replace("name: \"south\"", "name: \"north\""),
            "4: sites[2].name",
        ),
        (
            THREE.replace(
                "class: \"prices\" plan: \"harvest\"",
                "class: \"fish\" plan: \"harvest\"",
            ),
            "16: demand[4].class",
        ),
        (
            THREE.replace("rate: 7.9", "rate: nan"),
            "20: demand[8].rate",
        ),
        (
            THREE.replace("gateways: 4", "gateways: 0"),
            "2: sites[0].gateways",
        ),
        (format!("{THREE}crossing_cost: 3\n"), "24: crossing_cost"),
        (
            "sites { name: \"a\" capacity: 1 gateways: 1 }\n".to_string(),
            "1: classes",
        ),
        (THREE.replace("worth: 4", "value: 4"), "8: "),
    ];
    for (text, place) in wrong {
        let error = read("f.txtpb", &text).expect_err(place).to_string();
        assert!(
            error.starts_with(&format!("f.txtpb:{place}")) && error.lines().count() == 1,
            "{error}"
        );
    }
}

proptest! {
    /// With no crossing cost worth counting the optimum is the greedy one by worth for each unit.
    #[test]
    fn the_optimum_is_greedy_by_worth_for_each_unit(
        kinds in prop::collection::vec((1.0..50.0f64, 0.1..4.0f64, 0.1..9.0f64), 1..8),
        capacities in prop::collection::vec(1.0..100.0f64, 2..5),
    ) {
        let demand: Vec<Demand> = kinds.iter().enumerate().map(|(i, &(rate, units, worth))| Demand {
            class: i.to_string(), plan: "p".into(), over: false, rate, units, worth,
        }).collect();
        let site = |(i, &capacity): (usize, &f64)| Site { name: i.to_string(), capacity, gateways: 1.0 };
        let sites = capacities.iter().enumerate().map(site).collect();
        let case = solve::case(&Input { sites, demand: demand.clone(), crossing: 1e-9 }, &[]).expect("an optimum");
        let mut order: Vec<&Demand> = demand.iter().collect();
        order.sort_by(|a, b| (b.worth / b.units).total_cmp(&(a.worth / a.units)));
        let (mut left, mut best) = (capacities.iter().sum::<f64>(), 0.0);
        for d in order {
            let rate = d.rate.min(left / d.units);
            left -= rate * d.units;
            best += rate * d.worth;
        }
        prop_assert!((case.worth - best).abs() < 1e-4 * best.max(1.0), "{} against {best}", case.worth);
        prop_assert!(case.in_use.iter().all(|u| u.part <= 1.0 + 1e-6));
    }
}
