//! The reply of an endpoint to an attempt.

use bytes::Bytes;
use chalkdeck::api::{LoadReport, Outcome};
use chalkdeck_resp::Frame;

/// The items of the reply that serves a request: the value, figures on use and a load report.
const SERVED_ITEMS: usize = 3;

/// What an endpoint replied.
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
    /// Not a reply of an endpoint: the attempt may have run, and the connection must not be used again.
    Invalid,
}

/// Parses the reply of an endpoint.
pub(crate) fn parse(frame: Frame) -> EndpointReply {
    match frame {
        Frame::Array(items) => parse_served(items),
        Frame::Error(line) => parse_error(&line),
        _ => EndpointReply::Invalid,
    }
}

/// Figures on use and a load report that are invalid take nothing from the value.
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

/// An error line begins with its code and may end with a load report.
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

/// Parses a load report. Parts that are invalid are left out.
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
