//! What crossed a socket, one JSON line each, with the machine's monotonic time in microseconds.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// One line of a log.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "ev", rename_all = "snake_case")]
pub enum Line {
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
    /// A client's call ended: the status it read, or why there was none.
    Answer {
        t: u64,
        id: String,
        end: End,
        status: i32,
        pushback: Option<i64>,
    },
    /// A server's socket brought a call.
    Arrive {
        t: u64,
        server: String,
        id: String,
        customer: String,
        path: String,
        key: String,
        units: f64,
    },
    /// A server begins to work on it.
    Start {
        t: u64,
        server: String,
        id: String,
        key: String,
    },
    /// A server's work is done; `effect`: it changed something, which a dropped repeat does not.
    Done {
        t: u64,
        server: String,
        id: String,
        key: String,
        effect: bool,
    },
    /// A server answered, with this status; `unprocessed`: it said that it did not look at the call.
    Reply {
        t: u64,
        server: String,
        id: String,
        status: i32,
        unprocessed: bool,
    },
    /// A server was told that the call is off.
    Cancel { t: u64, server: String, id: String },
    /// A cold server was pushed over.
    Fell { t: u64, server: String },
    /// Something that the run did.
    Note {
        t: u64,
        what: String,
        target: String,
    },
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// A server's answer.
    Served,
    /// RESOURCE_EXHAUSTED with advice.
    Refused,
    /// DEADLINE_EXCEEDED or UNAVAILABLE.
    Failed,
    /// The connection to the gateway was lost first.
    Lost,
    /// The client's time ran out without an answer.
    Silent,
    /// Another status of the gateway's own.
    Other,
}

/// Writes a log.
pub struct Log {
    out: Option<BufWriter<File>>,
}

impl Log {
    /// Writes to a new file; without a path, nowhere.
    pub fn create(path: Option<&Path>) -> std::io::Result<Log> {
        let out = path.map(File::create).transpose()?.map(BufWriter::new);
        Ok(Log { out })
    }
    /// Adds a line.
    pub fn line(&mut self, line: &Line) {
        let Some(out) = &mut self.out else { return };
        let written = serde_json::to_writer(&mut *out, line).map_err(std::io::Error::from);
        if let Err(e) = written.and_then(|()| out.write_all(b"\n")) {
            tracing::error!(error = %e, "event log not writable: logging stopped");
            self.out = None;
        }
    }
    /// Hands all lines to the system, so that a kill loses none.
    pub fn flush(&mut self) {
        let _ = self.out.as_mut().map(|out| out.flush());
    }
}

/// Reads a log. A last line cut short by a kill is left out. Errors name file and line.
pub fn read(path: &Path) -> anyhow::Result<Vec<Line>> {
    let mut lines = Vec::new();
    let mut reader = BufReader::new(File::open(path)?);
    let (mut text, mut at) = (String::new(), 0);
    while reader.read_line(&mut text)? > 0 {
        at += 1;
        match serde_json::from_str(&text) {
            Ok(line) => lines.push(line),
            Err(_) if !text.ends_with('\n') => {}
            Err(e) => anyhow::bail!("{}:{at}: expected a log line: {e}", path.display()),
        }
        text.clear();
    }
    Ok(lines)
}
