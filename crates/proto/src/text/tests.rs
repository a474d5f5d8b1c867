//! Tests of `text`.

use super::*;
use crate::chalkdeck::config::v1::Gateway;
const GATEWAY_MESSAGE: &str = "chalkdeck.config.v1.Gateway";

#[test]
fn parse_errors_name_their_lines() {
    let invalid_texts = [
        "fleet: 3\n\nflet: 4\n",
        "fleet: 3\nclasses {\n  aim_ms: -1\n}\n",
        "fleet: 3\nzone: \"a\n",
    ];
    let lines = invalid_texts.map(|text| {
        parse::<Gateway>(GATEWAY_MESSAGE, text)
            .expect_err("invalid text")
            .line
    });
    assert_eq!(lines, [3, 3, 2]);
}

#[test]
fn printed_message_parses_to_the_same_message() {
    let text = "listen: \"127.0.0.1:0\" classes { name: \"view\" effect: SAFE aim_ms: 500 }";
    let message: Gateway = parse(GATEWAY_MESSAGE, text).expect("valid text");
    let printed = print(GATEWAY_MESSAGE, &message).expect("a known message type");
    assert_eq!(parse::<Gateway>(GATEWAY_MESSAGE, &printed), Ok(message));
}
