//! Parses the reply of an endpoint to an attempt.

use bytes::Bytes;
use chalkdeck::api::{LoadReport, Outcome};
use chalkdeck_resp::Frame;

/// The number of items in the reply that serves a request: the value, usage figures and a load report.
const SERVED_ITEMS: usize = 3;

/// The parsed reply of an endpoint.
#[derive(Debug, PartialEq)]
pub(crate) enum EndpointReply {
    /// The request was served.
    Served {
        value: Bytes,
        load_report: LoadReport,
    },
    /// The request was rejected or failed.
    Failed {
        outcome: Outcome,
        load_report: LoadReport,
    },
    /// The reply is not one that endpoints send: the attempt may have run, and the connection must not be reused.
    Invalid,
}

/// Parses a reply.
pub(crate) fn parse(frame: Frame) -> EndpointReply {
    match frame {
        Frame::Array(items) => parse_served(items),
        Frame::Error(line) => parse_error(&line),
        _ => EndpointReply::Invalid,
    }
}

/// Parses the reply that serves a request. Invalid usage figures or an invalid load report do not invalidate the value.
fn parse_served(items: Vec<Frame>) -> EndpointReply {
    if items.len() != SERVED_ITEMS {
        return EndpointReply::Invalid;
    }
    let load_report = match &items[2] {
        Frame::BulkString(text) => parse_load_report(text),
        _ => LoadReport::default(),
    };
    match items.into_iter().next() {
        Some(Frame::BulkString(value)) => EndpointReply::Served { value, load_report },
        _ => EndpointReply::Invalid,
    }
}

/// Parses an error reply, which begins with an error code and may end with a load report.
fn parse_error(line: &str) -> EndpointReply {
    let last_word = line.rsplit(' ').next().unwrap_or_default();
    let load_report = parse_load_report(last_word.as_bytes());
    let outcome = match line.split(' ').next() {
        Some("BUSY") => Outcome::Rejected,
        Some("ERR" | "NOPERM" | "SYNTAX") => Outcome::Error,
        _ => return EndpointReply::Invalid,
    };
    EndpointReply::Failed {
        outcome,
        load_report,
    }
}

/// Parses a load report, leaving out invalid parts.
fn parse_load_report(text: &[u8]) -> LoadReport {
    let mut report = LoadReport::default();
    let Ok(text) = std::str::from_utf8(text) else {
        return report;
    };
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value
            .parse::<f64>()
            .ok()
            .filter(|value| value.is_finite() && *value >= 0.0);
        match name {
            "inflight" => report.in_flight = value,
            "queue" => report.queued = value,
            "util" => report.utilization = value,
            _ => {}
        }
    }
    report
}
