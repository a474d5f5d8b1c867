//! Checks a new version of a service against an old one, method by method.

use crate::message_check::MessageCheck;
use crate::promise_check::PromiseCheck;
use crate::{
    CompatibilityLevel, CompatibilityRule, Direction, Incompatibility, ServiceVersion,
    SubscriberBounds, Witness,
};
use prost_reflect::MethodDescriptor;

/// Finds what a new version breaks for subscribers of an old one: old requests that the new publisher misreads, new responses that old
/// subscribers misread, and promises that became weaker.
pub fn find_incompatibilities(
    old: &ServiceVersion,
    new: &ServiceVersion,
    level: CompatibilityLevel,
    bounds: SubscriberBounds,
) -> Vec<Incompatibility> {
    let mut found = Vec::new();
    for old_method in old.service.methods() {
        let name = old_method.name();
        let path = format!("{}/{name}", old.service.full_name());
        let Some(new_method) = new.service.methods().find(|method| method.name() == name) else {
            found.push(removed_method(path));
            continue;
        };
        let pair = MethodPair {
            path: &path,
            old: &old_method,
            new: &new_method,
        };
        pair.check_streaming(&mut found);
        pair.check_messages(level, &mut found);
        if let (Some(old), Some(new)) = (old.promises.get(name), new.promises.get(name)) {
            let mut check = PromiseCheck {
                path: &path,
                old,
                new,
                bounds,
                found: &mut found,
            };
            check.run();
        }
    }
    found
}

fn removed_method(path: String) -> Incompatibility {
    let call = format!("a call of {path} is answered UNIMPLEMENTED");
    Incompatibility {
        path,
        rule: CompatibilityRule::MethodRemoved,
        change: "the method is gone".to_string(),
        witness: Witness::Call(call),
    }
}

/// A method in both versions.
struct MethodPair<'a> {
    /// The method as `SERVICE/METHOD`.
    path: &'a str,
    old: &'a MethodDescriptor,
    new: &'a MethodDescriptor,
}

impl MethodPair<'_> {
    fn check_streaming(&self, found: &mut Vec<Incompatibility>) {
        let (old, new) = (self.old, self.new);
        if old.is_client_streaming() != new.is_client_streaming() {
            found.push(self.streaming_change(Direction::Request, old.is_client_streaming()));
        }
        if old.is_server_streaming() != new.is_server_streaming() {
            found.push(self.streaming_change(Direction::Response, old.is_server_streaming()));
        }
    }

    fn streaming_change(&self, direction: Direction, was_stream: bool) -> Incompatibility {
        let side = side_name(direction);
        let (old, new) = if was_stream {
            ("a stream", "one message")
        } else {
            ("one message", "a stream")
        };
        let call = format!("a subscriber of {} that sends and awaits {old} of its {side} hears an error or waits for good", self.path);
        Incompatibility {
            path: self.path.to_string(),
            rule: CompatibilityRule::Streaming,
            change: format!("the {side} was {old}, and is {new}"),
            witness: Witness::Call(call),
        }
    }

    fn check_messages(&self, level: CompatibilityLevel, found: &mut Vec<Incompatibility>) {
        for direction in [Direction::Request, Direction::Response] {
            let path_prefix = format!("{} {}", self.path, side_name(direction));
            let (writer, reader) = match direction {
                Direction::Request => (self.old.input(), self.new.input()),
                Direction::Response => (self.new.output(), self.old.output()),
            };
            MessageCheck::new(level, direction, path_prefix, writer, reader, found).run();
        }
    }
}

/// The name of a method's side in reports to publishers; part of the wire format.
fn side_name(direction: Direction) -> &'static str {
    match direction {
        Direction::Request => "request",
        Direction::Response => "answer",
    }
}
