//! Invalid inputs are rejected with an error of one line that names the file, the line and the field.
use chalkdeck_capacity_planner::input::PlanningInput;

const THREE_SITES: &str = include_str!("../examples/three-sites.txtpb");

#[test]
fn invalid_input_is_rejected_in_one_line_with_file_line_and_field() {
    let changed = |before: &str, after: &str| THREE_SITES.replace(before, after);
    let cases = [
        (
            changed(
                "name: \"middle\" capacity: 150",
                "name: \"middle\" capacity: -1",
            ),
            "3: sites[1].capacity",
        ),
        (
            changed("name: \"south\"", "name: \"north\""),
            "4: sites[2].name",
        ),
        (
            changed(
                "class: \"prices\" plan: \"harvest\"",
                "class: \"fish\" plan: \"harvest\"",
            ),
            "16: demand[4].class",
        ),
        (changed("rate: 7.9", "rate: nan"), "20: demand[8].rate"),
        (
            changed("gateways: 4", "gateways: 0"),
            "2: sites[0].gateways",
        ),
        (
            format!("{THREE_SITES}crossing_cost: 3\n"),
            "24: crossing_cost",
        ),
        (
            "sites { name: \"a\" capacity: 1 gateways: 1 }\n".to_string(),
            "1: classes",
        ),
        (changed("worth: 4", "value: 4"), "8: "),
    ];
    for (text, line_and_field) in cases {
        let error = PlanningInput::parse("f.txtpb", &text)
            .expect_err(line_and_field)
            .to_string();
        assert!(
            error.starts_with(&format!("f.txtpb:{line_and_field}")) && error.lines().count() == 1,
            "{error}"
        );
    }
}
