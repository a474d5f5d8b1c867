//! What a backend's reply, and the counter's, say.

use bytes::Bytes;
use chalkdeck::api::{LoadReport, Outcome};
use chalkdeck_resp::Frame;

/// What came of an attempt that was answered.
#[derive(Debug, PartialEq)]
pub(crate) enum Answered {
    /// Served, with the value and the load report.
    Served(Bytes, LoadReport),
    /// Turned away or failed.
    Not(Outcome, LoadReport),
    /// What no backend says: it has run, and the connection is of no further use.
    Spoilt,
}

/// Reads a backend's reply.
pub(crate) fn answered(frame: Frame) -> Answered {
    match frame {
        Frame::Array(items) => served(items),
        Frame::Error(line) => {
            let report = line
                .rsplit(' ')
                .next()
                .map(|text| report(text.as_bytes()))
                .unwrap_or_default();
            match line.split(' ').next() {
                Some("BUSY") => Answered::Not(Outcome::Rejected, report),
                Some("ERR" | "NOPERM" | "SYNTAX") => Answered::Not(Outcome::Error, report),
                _ => Answered::Spoilt,
            }
        }
        _ => Answered::Spoilt,
    }
}

fn served(items: Vec<Frame>) -> Answered {
    // Figures on use and a report that cannot be read take nothing from the value.
    if items.len() != 3 {
        return Answered::Spoilt;
    }
    let said = match &items[2] {
        Frame::BulkString(text) => report(text),
        _ => LoadReport::default(),
    };
    match items.into_iter().next() {
        Some(Frame::BulkString(value)) => Answered::Served(value, said),
        _ => Answered::Spoilt,
    }
}

/// A load report; what of it cannot be read is left out.
pub(crate) fn report(text: &[u8]) -> LoadReport {
    let mut report = LoadReport::default();
    let Ok(text) = std::str::from_utf8(text) else {
        return report;
    };
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value
            .parse::<f64>()
            .ok()
            .filter(|v| v.is_finite() && *v >= 0.0);
        match name {
            "in_flight" => report.in_flight = value,
            "queue" => report.queued = value,
            "util" => report.utilization = value,
            _ => {}
        }
    }
    report
}

/// Reads the counter's reply: how the call ended, the total, and whether the connection is of further use. The add was made
/// when an answer came that cannot be read.
pub(crate) fn counted(frame: &Frame) -> (Outcome, f64, bool) {
    match frame {
        Frame::BulkString(text) => {
            let total = std::str::from_utf8(text)
                .ok()
                .and_then(|t| t.parse::<f64>().ok());
            match total.filter(|t| t.is_finite()) {
                Some(total) => (Outcome::Ok, total, true),
                None => (Outcome::Error, 0.0, false),
            }
        }
        Frame::Error(line) if line.split(' ').next() == Some("BUSY") => {
            (Outcome::Rejected, 0.0, true)
        }
        Frame::Error(line) if line.starts_with("ERR") => (Outcome::Rejected, 0.0, true),
        _ => (Outcome::Error, 0.0, false),
    }
}
