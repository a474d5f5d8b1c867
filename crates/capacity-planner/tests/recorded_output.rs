//! Tables, JSON and error texts are the same as those recorded from commit 129cb7d, byte for byte.

use chalkdeck_capacity_planner::input::PlanningInput;
use chalkdeck_capacity_planner::scenario::{solve_all_cases, SiteLossCase};
use chalkdeck_capacity_planner::table;

const THREE_SITES: &str = include_str!("../examples/three-sites.txtpb");
const RECORDED_TABLE: &str = include_str!("recorded/three-sites.table");
const RECORDED_JSON: &str = include_str!("recorded/three-sites.json");
const RECORDED_ERRORS: &str = include_str!("recorded/errors.txt");

/// Changes that each make the example invalid: the text before and after.
const INVALID_CHANGES: [(&str, &str); 16] = [
    ("capacity: 150", "capacity: -1"),
    ("capacity: 150", "capacity: 0"),
    ("capacity: 150", "capacity: inf"),
    ("name: \"south\"", "name: \"north\""),
    ("name: \"middle\"", "name: \"\""),
    ("class: \"sale\"", "class: \"fish\""),
    ("plan: \"estate\"", "plan: \"none\""),
    ("class: \"prices\" plan", "class: \"view\" plan"),
    ("rate: 7.9", "rate: nan"),
    ("over_rate: 10", "over_rate: -10"),
    ("gateways: 4", "gateways: 0"),
    ("price: 1.5", "price: -1.5"),
    ("worth: 4", "worth: -4"),
    ("worth: 4", "value: 4"),
    ("units: 0.75", "units: -0.75"),
    ("# Three", "crossing_cost: 3 #"),
];

fn solved_cases(text: &str) -> Vec<SiteLossCase> {
    let input = PlanningInput::parse("three-sites.txtpb", text).expect("a valid input");
    solve_all_cases(&input).expect("an optimum")
}

#[test]
fn table_of_the_example_is_the_recorded_one() {
    assert_eq!(table::render(&solved_cases(THREE_SITES)), RECORDED_TABLE);
}

#[test]
fn json_of_the_example_is_the_recorded_one() {
    let json = serde_json::to_string_pretty(&solved_cases(THREE_SITES)).expect("JSON");
    assert_eq!(json, RECORDED_JSON.trim_end());
}

/// Inputs with too few or too many elements of some kind, or with an invalid crossing cost.
fn short_inputs() -> Vec<String> {
    let site = |name: usize| format!("sites {{ name: \"s{name}\" capacity: 1 gateways: 1 }}\n");
    let sites = |count: usize| (0..count).map(site).collect::<String>();
    let class_and_plan = "classes { name: \"c\" worth: 1 }\nplans { name: \"p\" }\n";
    let demand = "demand { class: \"c\" plan: \"p\" rate: 0 }\n";
    vec![
        String::new(),
        "what".to_string(),
        sites(2),
        format!("{}classes {{ name: \"c\" }}\n", sites(2)),
        format!("{}{class_and_plan}", sites(1)),
        format!("{}{class_and_plan}", sites(33)),
        format!("{}{class_and_plan}", sites(2)),
        format!("{}{class_and_plan}{demand}", sites(2)),
        format!("{}{class_and_plan}{}", sites(2), demand.repeat(1_001)),
        format!("{}{class_and_plan}crossing_cost: -1\n", sites(2)),
    ]
}

#[test]
fn errors_of_invalid_inputs_are_the_recorded_ones() {
    let mut errors = Vec::new();
    for (before, after) in INVALID_CHANGES {
        let changed = THREE_SITES.replace(before, after);
        assert_ne!(changed, THREE_SITES, "{before}");
        let error = PlanningInput::parse("changed.txtpb", &changed).expect_err(after);
        errors.push(error.to_string());
    }
    for text in short_inputs() {
        let error = PlanningInput::parse("short.txtpb", &text).expect_err(&text);
        errors.push(error.to_string());
    }
    let recorded: Vec<&str> = RECORDED_ERRORS.lines().collect();
    assert_eq!(errors, recorded, "now:\n{}\n", errors.join("\n"));
}
