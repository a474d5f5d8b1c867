//! Tests of `faults`.

use super::*;
use crate::common::control;

fn parse(text: &str) -> Result<LinkCommand, String> {
    LinkCommand::parse(&control::parse_target(&format!("/set?{text}")).1)
}

#[test]
fn a_cut_in_one_direction_applies_to_links_from_either_site() {
    let command = parse("from=a&to=b&both=1&way=there&cut=1").expect("a valid command");
    assert!(
        command.applies_to("a", "b")
            && command.applies_to("b", "a")
            && !command.applies_to("a", "c")
    );
    let (mut from_a, mut from_b) = (LinkFaults::default(), LinkFaults::default());
    command.apply("a", &mut from_a);
    command.apply("b", &mut from_b);
    // On links that b opens, requests from b to a pass, and responses from a to b don't.
    assert_eq!(
        [from_a.directions[0].is_cut, from_a.directions[1].is_cut],
        [true, false]
    );
    assert_eq!(
        [from_b.directions[0].is_cut, from_b.directions[1].is_cut],
        [false, true]
    );
}

#[test]
fn heal_clears_all_faults_and_errors_name_the_invalid_parameter() {
    let mut faults = LinkFaults::default();
    parse("loss=0.5&delay_ms=3&cut=1")
        .expect("a valid command")
        .apply("a", &mut faults);
    assert_eq!(
        (faults.directions[0].delay_us, faults.directions[1].is_cut),
        (3_000, true)
    );
    parse("heal=1")
        .expect("a valid command")
        .apply("a", &mut faults);
    assert_eq!(faults, LinkFaults::default());
    for (text, parameter) in [
        ("loss=2", "loss"),
        ("cut=x", "cut"),
        ("way=up", "way"),
        ("fire=1", "fire"),
    ] {
        assert!(parse(text)
            .expect_err("an invalid command")
            .contains(parameter));
    }
}
