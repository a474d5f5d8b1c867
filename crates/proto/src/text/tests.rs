//! Tests of `text`.

use super::*;
use crate::chalkdeck::config::v1::Gateway;
const NAME: &str = "chalkdeck.config.v1.Gateway";

#[test]
fn an_error_names_its_line() {
    let wrong = [
        "fleet: 3\n\nflet: 4\n",
        "fleet: 3\nclasses {\n  aim_ms: -1\n}\n",
        "fleet: 3\nzone: \"a\n",
    ];
    let lines = wrong.map(|text| parse::<Gateway>(NAME, text).expect_err("it is wrong").line);
    assert_eq!(lines, [3, 3, 2]);
}

#[test]
fn what_is_printed_reads_back_the_same() {
    let text = "listen: \"127.0.0.1:0\" classes { name: \"view\" effect: SAFE aim_ms: 500 }";
    let message: Gateway = parse(NAME, text).expect("it is sound");
    let printed = print(NAME, &message).expect("it has a text form");
    assert_eq!(parse::<Gateway>(NAME, &printed), Ok(message));
}
