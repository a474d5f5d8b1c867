//! Formats the actions of the decision engine as lines of a reply.

use crate::gateway::EndpointAddresses;
use chalkdeck::api::Action;
use std::fmt::{self, Write};

/// Appends the reply line of an action. Appends nothing for an action that the simulator has no
/// message for.
pub(crate) fn write_action(
    action: &Action,
    addresses: &EndpointAddresses,
    reply: &mut String,
) -> fmt::Result {
    match action {
        Action::SendAttempt {
            request,
            endpoint,
            deadline,
        } => {
            let address = addresses.address(*endpoint);
            let deadline_us = deadline.as_micros();
            writeln!(
                reply,
                "ROUTE ref={} backend={address} abandon_at={deadline_us}",
                request.0
            )
        }
        Action::Reject {
            request,
            retry_after: None,
        } => writeln!(reply, "REJECT ref={}", request.0),
        Action::Reject {
            request,
            retry_after: Some(delay),
        } => writeln!(
            reply,
            "REJECT ref={} backoff={}",
            request.0,
            delay.as_micros()
        ),
        // Grants answer admission-only requests, which the simulator does not have.
        Action::Grant(_) => Ok(()),
        Action::Fail(request) => writeln!(reply, "FINISH_ERROR ref={}", request.0),
        Action::CancelAttempt { request, attempt } => {
            writeln!(reply, "ABANDON ref={} trial={attempt}", request.0)
        }
        Action::Probe(endpoint) => {
            writeln!(reply, "PROBE backend={}", addresses.address(*endpoint))
        }
        Action::AddToCounter {
            key,
            amount,
            time_to_live,
        } => {
            let lifetime_us = time_to_live.as_micros();
            writeln!(
                reply,
                "ADD_AND_GET book={} amount={amount} lifetime={lifetime_us}",
                key.0
            )
        }
        Action::SetTimer { timer, after } => {
            writeln!(reply, "WAKE_ME ref={} in={}", timer.0, after.as_micros())
        }
        // The simulator cannot take a wake-up back, and one that is not needed has no effect.
        Action::CancelTimer(_) => Ok(()),
        Action::Subscribe => writeln!(reply, "LISTEN active=1"),
        Action::FetchEndpoints => writeln!(reply, "RELOAD"),
    }
}
