//! Actions of the decision engine as lines of a reply.

use crate::instance::EndpointAddresses;
use chalkdeck::api::Action;
use std::fmt::{self, Write};

/// Appends the line of an action; nothing for those that the simulator doesn't know.
pub(crate) fn write_action(
    action: &Action,
    addresses: &EndpointAddresses,
    out: &mut String,
) -> fmt::Result {
    match action {
        Action::SendAttempt {
            request,
            endpoint,
            deadline,
        } => {
            let address = addresses.address(*endpoint);
            let until = deadline.as_micros();
            writeln!(
                out,
                "ROUTE ref={} backend={address} abandon_at={until}",
                request.0
            )
        }
        Action::Reject {
            request,
            retry_after: None,
        } => writeln!(out, "REJECT ref={}", request.0),
        Action::Reject {
            request,
            retry_after: Some(wait),
        } => writeln!(out, "REJECT ref={} backoff={}", request.0, wait.as_micros()),
        // The simulator has no admission-only requests.
        Action::Grant(_) => Ok(()),
        Action::Fail(request) => writeln!(out, "FINISH_ERROR ref={}", request.0),
        Action::CancelAttempt { request, attempt } => {
            writeln!(out, "ABANDON ref={} trial={attempt}", request.0)
        }
        Action::Probe(endpoint) => {
            writeln!(out, "PROBE backend={}", addresses.address(*endpoint))
        }
        Action::AddToCounter {
            key,
            amount,
            time_to_live,
        } => {
            let life = time_to_live.as_micros();
            writeln!(
                out,
                "ADD_AND_GET book={} amount={amount} lifetime={life}",
                key.0
            )
        }
        Action::SetTimer { timer, after } => {
            writeln!(out, "WAKE_ME ref={} in={}", timer.0, after.as_micros())
        }
        Action::Subscribe => writeln!(out, "LISTEN active=1"),
        Action::FetchEndpoints => writeln!(out, "RELOAD"),
    }
}
