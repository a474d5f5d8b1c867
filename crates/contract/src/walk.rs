//! A new version against an old one, method by method.

use crate::breaks::{Break, Direction, Rule, Witness};
use crate::promise::{compare, Rests};
use crate::reads::Reads;
use crate::version::{Level, Version};
use prost_reflect::MethodDescriptor;
use std::collections::HashSet;

/// What the old version's subscribers rest on beside its promises.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// How long repeats of one call last at its clients, in milliseconds; none: as long as the window that was promised.
    pub repeats_ms: Option<u64>,
    /// The smallest burst of the plans of those who call; none: no plan bounds it.
    pub burst: Option<f64>,
}

/// What of an old version a new one breaks: old requests read by the new publisher, new answers by old subscribers, and what was
/// promised.
pub fn check(old: &Version, new: &Version, level: Level, bounds: Bounds) -> Vec<Break> {
    let mut out = Vec::new();
    for was in old.service.methods() {
        let path = format!("{}/{}", old.service.full_name(), was.name());
        let Some(is) = new.service.methods().find(|m| m.name() == was.name()) else {
            let what = "the method is gone".to_string();
            let call = Witness::Call(format!("a call of {path} is answered UNIMPLEMENTED"));
            out.push(Break {
                path,
                rule: Rule::MethodRemoved,
                what,
                witness: call,
            });
            continue;
        };
        method(&path, &was, &is, level, &mut out);
        if let (Some(old), Some(new)) = (old.promises.get(was.name()), new.promises.get(was.name()))
        {
            let rests = Rests {
                repeats_ms: bounds.repeats_ms,
                burst: bounds.burst,
            };
            compare(&path, old, new, &rests, &mut out);
        }
    }
    out
}

fn method(
    path: &str,
    was: &MethodDescriptor,
    is: &MethodDescriptor,
    level: Level,
    out: &mut Vec<Break>,
) {
    for (way, old, new) in [
        (
            "request",
            was.is_client_streaming(),
            is.is_client_streaming(),
        ),
        (
            "answer",
            was.is_server_streaming(),
            is.is_server_streaming(),
        ),
    ] {
        if old != new {
            let word = |stream| if stream { "a stream" } else { "one message" };
            let what = format!("the {way} was {}, and is {}", word(old), word(new));
            let call = format!("a subscriber of {path} that sends and awaits {} of its {way} hears an error or waits for good", word(old));
            out.push(Break {
                path: path.into(),
                rule: Rule::Streaming,
                what,
                witness: Witness::Call(call),
            });
        }
    }
    for (direction, word, roots) in [
        (Direction::Request, "request", (was.input(), is.input())),
        (Direction::Answer, "answer", (is.output(), was.output())),
    ] {
        let place = format!("{path} {word}");
        Reads {
            level,
            direction,
            place,
            roots,
            seen: HashSet::new(),
            out,
        }
        .all();
    }
}
