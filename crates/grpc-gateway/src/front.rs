//! What a call's head says: its route, customer, deadline and units; or why it is no call that can be taken.

use crate::base::asked::{Asked, Rejected};
use crate::base::settings::{Route, Settings};
use chalkdeck::api::{ClassId, CustomerId, IncomingRequest, RequestId, Timestamp};
use chalkdeck_net::grpc::{self, Code};
use http::uri::PathAndQuery;
use http::{request, HeaderMap, HeaderName};

/// The units of a call.
pub(crate) const UNITS: &str = "x-units";

fn reject<T>(code: Code, kind: &'static str, what: impl Into<String>) -> Result<T, Rejected> {
    Err(Rejected {
        code: Some(code),
        what: what.into(),
        kind,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(|v| v.to_str().unwrap_or("\u{fffd}"))
}

/// Reads a head that came at `now`.
pub(crate) fn read(
    set: &Settings,
    id: RequestId,
    now: u64,
    head: &request::Parts,
) -> Result<Asked, Rejected> {
    let headers = &head.headers;
    if head.method != http::Method::POST || !grpc::is_grpc(headers) {
        return Err(Rejected {
            code: None,
            what: "expected a gRPC call".into(),
            kind: "not_grpc",
        });
    }
    let path = head.uri.path();
    let matches = |r: &&Route| {
        if r.prefix {
            path.starts_with(&r.path)
        } else {
            path == r.path
        }
    };
    let Some(route) = set.routes.iter().find(matches) else {
        return reject(
            Code::Unimplemented,
            "no_route",
            format!("no route for {path}"),
        );
    };
    let name = set.customer_metadata.as_str();
    let Some(customer) = text(headers, name).filter(|c| !c.is_empty() && *c != "\u{fffd}") else {
        return reject(
            Code::Unauthenticated,
            "no_customer",
            format!("expected metadata {name}"),
        );
    };
    let Some(plan) = set.plan_for(customer) else {
        return reject(
            Code::Unauthenticated,
            "no_customer",
            format!("{name}: customer without a plan"),
        );
    };
    let timeout = match text(headers, grpc::TIMEOUT) {
        None => None,
        Some(value) => match grpc::parse_timeout(value) {
            Some(micros) => Some(micros),
            None => {
                let what = format!(
                    "grpc-timeout: expected up to 8 digits and one of HMSmun, found '{value}'"
                );
                return reject(Code::InvalidArgument, "bad_timeout", what);
            }
        },
    };
    let units = match text(headers, UNITS).filter(|_| route.client_units) {
        None => route.units,
        Some(value) => match value.parse::<f64>() {
            Ok(units) if units > 0.0 && units <= set.policy.max_request_units => units,
            _ => {
                let what = format!(
                    "x-units: expected above 0, at most {}, found '{value}'",
                    set.policy.max_request_units
                );
                return reject(Code::InvalidArgument, "bad_units", what);
            }
        },
    };
    let keyed = headers.get(grpc::KEY).is_some_and(|k| !k.is_empty());
    let class = if keyed {
        route.class
    } else {
        set.unkeyed[route.class]
    };
    let longest = set.policy.classes[class].deadline.as_micros();
    let tries_before = text(headers, grpc::ATTEMPTS)
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let arrival = IncomingRequest {
        id,
        class: ClassId(class),
        plan,
        customer: CustomerId(crate::base::server::number_of(customer)),
        customer_gateways: set.spread,
        deadline: Timestamp::from_micros(now + timeout.unwrap_or(longest).min(longest)),
        units,
        is_retry: tries_before > 0,
    };
    Ok(Asked {
        arrival,
        client_deadline: timeout.map(|t| now.saturating_add(t)),
        path: head
            .uri
            .path_and_query()
            .cloned()
            .unwrap_or(PathAndQuery::from_static("/")),
        headers: for_server(headers),
        tries_before,
    })
}

/// Metadata that goes on; what belongs to the connection or is set anew for each attempt stays behind.
fn for_server(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    let own = [
        grpc::TIMEOUT,
        grpc::ATTEMPTS,
        "host",
        "connection",
        "te",
        "content-length",
    ];
    own.into_iter()
        .for_each(|name| drop(out.remove(HeaderName::from_static(name))));
    out
}
