//! Event logs of a run: what clients and servers sent and received, one JSON object a line. `t` is the machine's monotonic
//! time in microseconds.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// One event, which is one line of a log. Names of variants and fields are the log's format.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "ev", rename_all = "snake_case")]
pub enum Entry {
    /// A client sends a call.
    Call {
        t: u64,
        id: String,
        customer: String,
        path: String,
        key: String,
        units: f64,
        deadline: u64,
        gateway: usize,
    },
    /// A client's call ended: the status that it received, or -1, and the reason in `end`.
    Answer {
        t: u64,
        id: String,
        end: CallOutcome,
        status: i32,
        pushback: Option<i64>,
    },
    /// A server received a call.
    Arrive {
        t: u64,
        server: String,
        id: String,
        customer: String,
        path: String,
        key: String,
        units: f64,
    },
    /// A server starts to process a call.
    Start {
        t: u64,
        server: String,
        id: String,
        key: String,
    },
    /// A server has processed a call. `effect`: the call changed state; false for a duplicate that the server suppressed.
    Done {
        t: u64,
        server: String,
        id: String,
        key: String,
        effect: bool,
    },
    /// A server responded with this status. `unprocessed`: it marked the call as rejected before any processing.
    Reply {
        t: u64,
        server: String,
        id: String,
        status: i32,
        unprocessed: bool,
    },
    /// A server learned that the call was cancelled.
    Cancel { t: u64, server: String, id: String },
    /// A server that was still warming up collapsed under overload.
    Fell { t: u64, server: String },
    /// An action of the run itself, such as a fault or the end of the load.
    Note {
        t: u64,
        what: String,
        target: String,
    },
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// A server responded.
    Served,
    /// RESOURCE_EXHAUSTED with a retry delay.
    Refused,
    /// DEADLINE_EXCEEDED or UNAVAILABLE.
    Failed,
    /// The connection to the gateway was lost before a response.
    Lost,
    /// The client gave up waiting for a response after its deadline.
    Silent,
    /// Another status that the gateway itself produced.
    Other,
}

/// Writes an event log.
pub struct EventLog {
    out: Option<BufWriter<File>>,
}

impl EventLog {
    /// Creates the file; without a path, events are discarded.
    pub fn create(path: Option<&Path>) -> std::io::Result<EventLog> {
        let out = path.map(File::create).transpose()?.map(BufWriter::new);
        Ok(EventLog { out })
    }
    /// Appends an event. A write error is logged and stops the logging.
    pub fn append(&mut self, event: &Entry) {
        let Some(out) = &mut self.out else { return };
        let written = serde_json::to_writer(&mut *out, event).map_err(std::io::Error::from);
        if let Err(e) = written.and_then(|()| out.write_all(b"\n")) {
            tracing::error!(error = %e, "event log not writable: logging stopped");
            self.out = None;
        }
    }
    /// Writes all buffered lines to the file, so that a SIGKILL loses none.
    pub fn flush(&mut self) {
        let _ = self.out.as_mut().map(|out| out.flush());
    }
}

/// Reads an event log. Ignores an incomplete last line, which a killed process leaves behind. Errors name file and line.
pub fn read(path: &Path) -> anyhow::Result<Vec<Entry>> {
    let mut events = Vec::new();
    let mut reader = BufReader::new(File::open(path)?);
    let (mut text, mut line_number) = (String::new(), 0);
    while reader.read_line(&mut text)? > 0 {
        line_number += 1;
        match serde_json::from_str(&text) {
            Ok(event) => events.push(event),
            Err(_) if !text.ends_with('\n') => {}
            Err(e) => anyhow::bail!("{}:{line_number}: expected a log line: {e}", path.display()),
        }
        text.clear();
    }
    Ok(events)
}
