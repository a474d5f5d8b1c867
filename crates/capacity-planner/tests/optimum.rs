//! The optimum against what can be computed by hand.
use chalkdeck_capacity_planner::input::{Demand, PlanningInput, Site};
use chalkdeck_capacity_planner::scenario::{all_cases, case, DemandOutcome, SiteLossCase};
use chalkdeck_capacity_planner::table;
use proptest::prelude::*;

const THREE_SITES: &str = include_str!("../examples/three-sites.txtpb");
/// Rates below this are rounding errors.
const NEGLIGIBLE: f64 = 1e-6;

fn three_sites() -> PlanningInput {
    PlanningInput::parse("three-sites.txtpb", THREE_SITES).expect("a valid input")
}

fn case_without(lost: &[usize]) -> SiteLossCase {
    case(&three_sites(), lost).expect("an optimum")
}

fn within_quota(case: &SiteLossCase) -> impl Iterator<Item = &DemandOutcome> {
    case.outcomes
        .iter()
        .filter(|outcome| !outcome.is_over_quota)
}

#[test]
fn each_site_and_each_pair_is_a_case() {
    let cases = all_cases(&three_sites()).expect("an optimum");
    assert_eq!(cases.len(), 1 + 3 + 3);
    assert_eq!(cases[0].missing_capacity, 0.0);
    assert!(within_quota(&cases[0]).all(|outcome| outcome.rejected < NEGLIGIBLE));
    assert!(
        cases[0].flows.iter().all(|flow| flow.from == flow.to),
        "crossings cost, so there are none: {:?}",
        cases[0].flows
    );
}

#[test]
fn lost_site_rejects_the_calls_of_least_value_per_unit() {
    let lost = case_without(&[0]);
    let demand = three_sites().demand;
    let needed: f64 = demand
        .iter()
        .filter(|demand| !demand.is_over_quota)
        .map(|demand| demand.rate * demand.units)
        .sum();
    assert!((lost.missing_capacity - (needed - 300.0)).abs() < NEGLIGIBLE);
    // Reports of the cheapest plan are rejected first; what is missing is less than all reports.
    let rejected: Vec<&DemandOutcome> = within_quota(&lost)
        .filter(|outcome| outcome.rejected > NEGLIGIBLE)
        .collect();
    assert!(
        rejected.iter().all(|outcome| outcome.class == "report"),
        "{rejected:?}"
    );
    assert!(lost.outcomes.iter().any(|outcome| {
        outcome.class == "report" && outcome.plan == "seed" && outcome.served < NEGLIGIBLE
    }));
    assert!(lost
        .utilization
        .iter()
        .all(|site| (site.part - 1.0).abs() < NEGLIGIBLE));
}

#[test]
fn calls_beyond_quotas_are_served_only_from_capacity_that_no_other_needs() {
    let served_over_quota = |case: &SiteLossCase| {
        case.outcomes
            .iter()
            .find(|outcome| outcome.is_over_quota)
            .map(|outcome| outcome.served)
    };
    assert_eq!(served_over_quota(&case_without(&[0])), Some(0.0));
    let calm = served_over_quota(&case_without(&[])).expect("some demand beyond quotas");
    assert!((calm - 10.0).abs() < NEGLIGIBLE);
}

#[test]
fn no_calls_arrive_if_all_gateways_are_at_the_lost_site() {
    let text = THREE_SITES
        .replace(
            "name: \"middle\" capacity: 150 gateways: 4",
            "name: \"middle\" capacity: 150",
        )
        .replace(
            "name: \"south\" capacity: 150 gateways: 4",
            "name: \"south\" capacity: 150",
        );
    let input = PlanningInput::parse("one.txtpb", &text).expect("a valid input");
    let lost = case(&input, &[0]).expect("an optimum");
    assert_eq!(lost.served_value, 0.0);
    assert!(table::render(&[lost]).contains("0.0% of the worth"));
}

proptest! {
    /// Without a crossing cost worth counting, the optimum is the greedy one by value per unit.
    #[test]
    fn optimum_is_greedy_by_value_per_unit(
        kinds in prop::collection::vec((1.0..50.0f64, 0.1..4.0f64, 0.1..9.0f64), 1..8),
        capacities in prop::collection::vec(1.0..100.0f64, 2..5),
    ) {
        let demand_of = |(index, &(rate, units, value)): (usize, &(f64, f64, f64))| Demand {
            class: index.to_string(),
            plan: "p".into(),
            is_over_quota: false,
            rate,
            units,
            value,
        };
        let site_of = |(index, &capacity): (usize, &f64)| Site {
            name: index.to_string(),
            capacity,
            gateways: 1.0,
        };
        let demand: Vec<Demand> = kinds.iter().enumerate().map(demand_of).collect();
        let input = PlanningInput {
            sites: capacities.iter().enumerate().map(site_of).collect(),
            demand: demand.clone(),
            crossing_cost: 1e-9,
        };
        let case = case(&input, &[]).expect("an optimum");
        let mut by_value: Vec<&Demand> = demand.iter().collect();
        by_value.sort_by(|a, b| (b.value / b.units).total_cmp(&(a.value / a.units)));
        let mut remaining = capacities.iter().sum::<f64>();
        let mut best = 0.0;
        for demand in by_value {
            let rate = demand.rate.min(remaining / demand.units);
            remaining -= rate * demand.units;
            best += rate * demand.value;
        }
        let difference = (case.served_value - best).abs();
        prop_assert!(difference < 1e-4 * best.max(1.0), "{} against {best}", case.served_value);
        prop_assert!(case.utilization.iter().all(|site| site.part <= 1.0 + NEGLIGIBLE));
    }
}
