//! The optimum equals what can be computed without a linear program.
use chalkdeck_capacity_planner::input::{Demand, PlanningInput, Site};
use chalkdeck_capacity_planner::scenario::{
    solve_all_cases, solve_case, DemandOutcome, SiteLossCase,
};
use chalkdeck_capacity_planner::table;
use proptest::prelude::*;

const THREE_SITES: &str = include_str!("../examples/three-sites.txtpb");
/// Differences of rates and fractions up to this are rounding errors.
const TOLERANCE: f64 = 1e-6;

fn three_sites() -> PlanningInput {
    PlanningInput::parse("three-sites.txtpb", THREE_SITES).expect("a valid input")
}

fn case_without(lost: &[usize]) -> SiteLossCase {
    solve_case(&three_sites(), lost).expect("an optimum")
}

fn within_quota(case: &SiteLossCase) -> impl Iterator<Item = &DemandOutcome> {
    case.outcomes
        .iter()
        .filter(|outcome| !outcome.is_over_quota)
}

#[test]
fn each_site_and_each_pair_is_a_case() {
    let cases = solve_all_cases(&three_sites()).expect("an optimum");
    assert_eq!(cases.len(), 1 + 3 + 3);
    assert_eq!(cases[0].missing_capacity, 0.0);
    assert!(within_quota(&cases[0]).all(|outcome| outcome.rejected < TOLERANCE));
    assert!(
        cases[0].flows.iter().all(|flow| flow.from == flow.to),
        "no call crosses between sites, because crossings have a cost: {:?}",
        cases[0].flows
    );
}

#[test]
fn lost_site_rejects_the_calls_of_least_value_per_unit() {
    let case = case_without(&[0]);
    let demand = three_sites().demand;
    let needed: f64 = demand
        .iter()
        .filter(|demand| !demand.is_over_quota)
        .map(|demand| demand.rate * demand.units)
        .sum();
    assert!((case.missing_capacity - (needed - 300.0)).abs() < TOLERANCE);
    // Reports of the cheapest plan are rejected first. The missing capacity is less than what all reports need.
    let rejected: Vec<&DemandOutcome> = within_quota(&case)
        .filter(|outcome| outcome.rejected > TOLERANCE)
        .collect();
    assert!(
        rejected.iter().all(|outcome| outcome.class == "report"),
        "{rejected:?}"
    );
    assert!(case.outcomes.iter().any(|outcome| {
        outcome.class == "report" && outcome.plan == "seed" && outcome.served < TOLERANCE
    }));
    assert!(case
        .utilization
        .iter()
        .all(|site| (site.fraction - 1.0).abs() < TOLERANCE));
}

#[test]
fn calls_over_quotas_are_served_only_from_spare_capacity() {
    let served_over_quota = |case: &SiteLossCase| {
        case.outcomes
            .iter()
            .find(|outcome| outcome.is_over_quota)
            .map(|outcome| outcome.served)
    };
    assert_eq!(served_over_quota(&case_without(&[0])), Some(0.0));
    let served_with_all_sites =
        served_over_quota(&case_without(&[])).expect("some demand over quotas");
    assert!((served_with_all_sites - 10.0).abs() < TOLERANCE);
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
    let case = solve_case(&input, &[0]).expect("an optimum");
    assert_eq!(case.served_value, 0.0);
    assert!(table::render(&[case]).contains("0.0% of the worth"));
}

proptest! {
    /// With a negligible crossing cost, serving calls in the order of their value per unit is optimal.
    #[test]
    fn optimum_equals_the_greedy_solution_by_value_per_unit(
        calls in prop::collection::vec((1.0..50.0f64, 0.1..4.0f64, 0.1..9.0f64), 1..8),
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
        let demand: Vec<Demand> = calls.iter().enumerate().map(demand_of).collect();
        let input = PlanningInput {
            sites: capacities.iter().enumerate().map(site_of).collect(),
            demand: demand.clone(),
            crossing_cost: 1e-9,
        };
        let case = solve_case(&input, &[]).expect("an optimum");
        let mut by_value_per_unit: Vec<&Demand> = demand.iter().collect();
        by_value_per_unit.sort_by(|a, b| (b.value / b.units).total_cmp(&(a.value / a.units)));
        let mut remaining_capacity = capacities.iter().sum::<f64>();
        let mut greedy_value = 0.0;
        for demand in by_value_per_unit {
            let rate = demand.rate.min(remaining_capacity / demand.units);
            remaining_capacity -= rate * demand.units;
            greedy_value += rate * demand.value;
        }
        let difference = (case.served_value - greedy_value).abs();
        prop_assert!(difference < 1e-4 * greedy_value.max(1.0), "{} against {greedy_value}", case.served_value);
        prop_assert!(case.utilization.iter().all(|site| site.fraction <= 1.0 + TOLERANCE));
    }
}
