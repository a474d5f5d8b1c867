//! Parses the head of a call: its route, customer, deadline and units, or the reason why it is invalid.

use crate::base::call_head::{CallHead, InvalidCall};
use crate::base::listed_endpoint::hash_name;
use crate::base::settings::{Route, Settings};
use chalkdeck::api::{ClassId, CustomerId, IncomingRequest, PlanId, RequestId, Timestamp};
use chalkdeck_net::grpc::{self, Code};
use http::uri::PathAndQuery;
use http::{request, HeaderMap, HeaderName};

/// The metadata in which a client sets the units of its call.
const UNITS_METADATA: &str = "x-units";
/// Replaces a metadata value that is not text.
const NON_TEXT_VALUE: &str = "\u{fffd}";

/// Parses a head that arrived at `now`, in microseconds of the loop's clock.
///
/// # Errors
/// The call is invalid; the first reason is returned.
pub(crate) fn parse(
    settings: &Settings,
    id: RequestId,
    now: u64,
    head: &request::Parts,
) -> Result<CallHead, InvalidCall> {
    let headers = &head.headers;
    require_grpc(head)?;
    let route = find_route(settings, head.uri.path())?;
    let (customer, plan) = find_customer(settings, headers)?;
    let timeout = parse_timeout(headers)?;
    let units = parse_units(settings, route, headers)?;
    let class = class_of(settings, route, headers);
    let max_timeout = settings.policy.classes[class].deadline.as_micros();
    let previous_attempts = text(headers, grpc::PREVIOUS_ATTEMPTS)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let request = IncomingRequest {
        id,
        class: ClassId(class),
        plan,
        customer: CustomerId(hash_name(customer)),
        customer_gateways: settings.customer_gateways,
        deadline: Timestamp::from_micros(now + timeout.unwrap_or(max_timeout).min(max_timeout)),
        units,
        is_retry: previous_attempts > 0,
    };
    let path = head.uri.path_and_query().cloned();
    Ok(CallHead {
        request,
        client_deadline: timeout.map(|timeout| now.saturating_add(timeout)),
        path: path.unwrap_or(PathAndQuery::from_static("/")),
        headers: forwarded_headers(headers),
        previous_attempts,
    })
}

fn require_grpc(head: &request::Parts) -> Result<(), InvalidCall> {
    if head.method == http::Method::POST && grpc::is_grpc(&head.headers) {
        return Ok(());
    }
    Err(InvalidCall {
        code: None,
        reason: "expected a gRPC call".into(),
        kind: "not_grpc",
    })
}

fn find_route<'a>(settings: &'a Settings, path: &str) -> Result<&'a Route, InvalidCall> {
    let matches = |route: &&Route| {
        if route.is_prefix {
            path.starts_with(&route.path)
        } else {
            path == route.path
        }
    };
    settings.routes.iter().find(matches).ok_or_else(|| {
        let reason = format!("no route for {path}");
        invalid(Code::Unimplemented, "no_route", reason)
    })
}

fn find_customer<'a>(
    settings: &Settings,
    headers: &'a HeaderMap,
) -> Result<(&'a str, PlanId), InvalidCall> {
    let name = settings.customer_metadata.as_str();
    let no_customer = |reason| invalid(Code::Unauthenticated, "no_customer", reason);
    let customer = text(headers, name)
        .filter(|customer| !customer.is_empty() && *customer != NON_TEXT_VALUE)
        .ok_or_else(|| no_customer(format!("expected metadata {name}")))?;
    let plan = settings
        .plan_for(customer)
        .ok_or_else(|| no_customer(format!("{name}: customer without a plan")))?;
    Ok((customer, plan))
}

/// The client's time-out in microseconds, if it set one.
fn parse_timeout(headers: &HeaderMap) -> Result<Option<u64>, InvalidCall> {
    let Some(value) = text(headers, grpc::TIMEOUT) else {
        return Ok(None);
    };
    let timeout = grpc::parse_timeout(value).ok_or_else(|| {
        let reason =
            format!("grpc-timeout: expected up to 8 digits and one of HMSmun, found '{value}'");
        invalid(Code::InvalidArgument, "bad_timeout", reason)
    })?;
    Ok(Some(timeout))
}

fn parse_units(
    settings: &Settings,
    route: &Route,
    headers: &HeaderMap,
) -> Result<f64, InvalidCall> {
    let Some(value) = text(headers, UNITS_METADATA).filter(|_| route.allows_client_units) else {
        return Ok(route.units);
    };
    let max_units = settings.policy.max_request_units;
    match value.parse::<f64>() {
        Ok(units) if units > 0.0 && units <= max_units => Ok(units),
        _ => {
            let reason = format!("x-units: expected above 0, at most {max_units}, found '{value}'");
            Err(invalid(Code::InvalidArgument, "bad_units", reason))
        }
    }
}

/// The index of the call's class; calls of keyed routes without an idempotency key have a class of their own.
fn class_of(settings: &Settings, route: &Route, headers: &HeaderMap) -> usize {
    let has_key = headers
        .get(grpc::IDEMPOTENCY_KEY)
        .is_some_and(|key| !key.is_empty());
    if has_key {
        route.class
    } else {
        settings.unkeyed_class[route.class]
    }
}

fn invalid(code: Code, kind: &'static str, reason: String) -> InvalidCall {
    InvalidCall {
        code: Some(code),
        reason,
        kind,
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let value = headers.get(name)?;
    Some(value.to_str().unwrap_or(NON_TEXT_VALUE))
}

/// Metadata that is forwarded to the endpoint: without the headers of the client's connection and those that each attempt sets.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let removed_headers = [
        grpc::TIMEOUT,
        grpc::PREVIOUS_ATTEMPTS,
        "host",
        "connection",
        "te",
        "content-length",
    ];
    for name in removed_headers {
        forwarded.remove(HeaderName::from_static(name));
    }
    forwarded
}
